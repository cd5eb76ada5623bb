#include "standin/planner_process.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "protocol/frames.h"
#include "transport/address.h"

namespace marldale::standin {
namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;
constexpr std::chrono::seconds kServesWithin{10};
constexpr double kQuietMs = 1.5;  // of CPU within a look: the planner's timers, and no work
constexpr std::chrono::milliseconds kLook{60};

std::string whole(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

std::string newDirectory() {
    std::string out = fs::temp_directory_path() / "marldale-standin-XXXXXX";
    if (mkdtemp(out.data()) == nullptr) throw std::runtime_error("no directory for a planner's files");
    return out;
}

// Whether a planner answers a probe.
bool alive(const transport::Address& at) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &to.sin_addr);
    std::string got(64, 0);
    const std::string probe = protocol::frame(R"({"type":"probe"})");
    const bool told = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
                      send(fd, probe.data(), probe.size(), MSG_NOSIGNAL) > 0;
    const ssize_t size = told ? recv(fd, got.data(), got.size(), 0) : 0;
    close(fd);
    return size > 0 && got.find("alive") != std::string::npos;
}

double sinceMs(Clock::time_point start) {
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

}  // namespace

std::uint16_t freePort() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
                       getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    close(fd);
    if (!bound) throw std::runtime_error("loopback has no free port");
    return ntohs(at.sin_port);
}

PlannerProcess::PlannerProcess(const std::string& config, const std::string& settings)
    : directory_(newDirectory()) {
    std::ofstream(directory_ + "/config.json") << config;
    std::map<std::string, std::string> environment;
    if (!settings.empty()) {
        std::ofstream(directory_ + "/own.ini") << settings;
        environment["MARLDALE_SETTINGS"] = directory_ + "/own.ini";
    }
    const auto start = Clock::now();
    process_.emplace(directory_ + "/config.json", directory_, environment);
    const auto at = transport::parseAddress(nlohmann::json::parse(config).at("listen").get<std::string>());
    while (!alive(at.value())) {
        if (!process_->running() || Clock::now() - start > kServesWithin) {
            throw std::runtime_error("the planner does not serve: " + log());
        }
        std::this_thread::sleep_for(std::chrono::microseconds{200});
    }
    startedMs_ = sinceMs(start);
    if (settings.find("[grpc]") != std::string::npos) (void)grpcAddress();
}

PlannerProcess::~PlannerProcess() {
    process_.reset();
    std::error_code ignored;
    fs::remove_all(directory_, ignored);
}

std::string PlannerProcess::grpcAddress() const {
    static constexpr std::string_view before = "grpc: listening on ";
    const auto start = Clock::now();
    for (;;) {
        const std::string text = log();
        const auto at = text.find(before);
        if (at != std::string::npos) {
            const auto from = at + before.size();
            return text.substr(from, text.find(',', from) - from);
        }
        if (Clock::now() - start > kServesWithin) throw std::runtime_error("no gRPC front: " + text);
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

Usage PlannerProcess::usage() const {
    const std::string proc = "/proc/" + std::to_string(process_->id());
    Usage out;
    for (const auto& task : fs::directory_iterator(proc + "/task")) {
        std::istringstream in(whole(task.path() / "schedstat"));
        double nanos = 0;
        if (in >> nanos) out.cpuMs += nanos / 1e6;
        ++out.threads;
    }
    std::istringstream status(whole(proc + "/status"));
    for (std::string line; std::getline(status, line);) {
        const auto kib = [&] { return std::stod(line.substr(line.find(':') + 1)) / 1024; };
        if (line.starts_with("VmRSS:")) out.residentMb = kib();
        if (line.starts_with("RssAnon:")) out.anonymousMb = kib();
    }
    out.descriptors = static_cast<std::size_t>(
        std::distance(fs::directory_iterator(proc + "/fd"), fs::directory_iterator()));
    return out;
}

bool PlannerProcess::maps(const std::string& library) const {
    return whole("/proc/" + std::to_string(process_->id()) + "/maps").find(library) != std::string::npos;
}

double PlannerProcess::quietCpuMs() const {
    const auto start = Clock::now();
    double before = usage().cpuMs;
    while (Clock::now() - start < std::chrono::seconds{5}) {
        std::this_thread::sleep_for(kLook);
        const double now = usage().cpuMs;
        if (now - before < kQuietMs) return before;
        before = now;
    }
    return before;
}

}  // namespace marldale::standin
