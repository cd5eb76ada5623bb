// How the program ends on a signal: with status 0, and with its last log line written to the end. The bench
// once had a fault here; the program has no way around it, and these hold by themselves.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <rapidjson/document.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace marldale::program {
namespace {

// A port of loopback that nobody listens on now.
unsigned short freePort() {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    ::close(socket);
    return ntohs(address.sin_port);
}

// The program in one of its roles, with a folder of its own; what it logs comes through a pipe.
class Running {
public:
    enum class Settings { file, heldBack };  // held back: the program waits for them until `giveSettings`

    explicit Running(const std::string& role, Settings settings = Settings::file) {
        std::string pattern = (std::filesystem::temp_directory_path() / "program-end-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        settingsText_ = settingsOf(role);
        settingsPath_ = folder_ + "/settings.yaml";
        if (settings == Settings::file) {
            std::ofstream(settingsPath_) << settingsText_;
        } else {
            REQUIRE(::mkfifo(settingsPath_.c_str(), 0600) == 0);
        }
        std::array<int, 2> ends{};
        REQUIRE(::pipe(ends.data()) == 0);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::dup2(ends[1], STDERR_FILENO);
            ::close(ends[0]);
            ::close(ends[1]);
            ::setenv("MARLDALE_CONFIG", settingsPath_.c_str(), 1);
            ::execl(MARLDALE_GATEWAY_PROGRAM, MARLDALE_GATEWAY_PROGRAM, role.c_str(), nullptr);
            ::_exit(127);
        }
        ::close(ends[1]);
        log_ = ends[0];
        // Opened once the program reads them.
        if (settings == Settings::heldBack) settingsPipe_ = ::open(settingsPath_.c_str(), O_WRONLY);
    }
    ~Running() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        ::close(log_);
        std::filesystem::remove_all(folder_);
    }
    Running(const Running&) = delete;
    Running& operator=(const Running&) = delete;

    void signal(int number) const { ::kill(pid_, number); }
    void giveSettings() const {
        const auto size = static_cast<ssize_t>(settingsText_.size());
        REQUIRE(::write(settingsPipe_, settingsText_.data(), settingsText_.size()) == size);
        ::close(settingsPipe_);
    }
    // Reads on until a line tells of this event; the end of the log is a failure.
    void awaitEvent(const std::string& event) {
        while (text_.find("\"event\":\"" + event + "\"") == std::string::npos) REQUIRE(readMore());
    }
    // Reads to the end of the log, then waits. The exit status, or minus the signal that ended it.
    int awaitEnd() {
        while (readMore()) {
        }
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    [[nodiscard]] const std::string& log() const { return text_; }

private:
    [[nodiscard]] std::string settingsOf(const std::string& role) const {
        const std::string port = std::to_string(freePort());
        const unsigned inside = 20000 + static_cast<unsigned>(::getpid()) % 20000;
        std::ostringstream out;
        out << "node_name: \"one\"\nip_address: \"127.0.0.1\"\nlisten_on:\n";
        if (role == "controller") {
            out << "  control: \"127.0.0.1:" << port << "\"\ndata_folder: \"" << folder_ << "\"\n";
        } else {
            out << "  front: \"127.0.0.1:" << port << "\"\n  readiness: \"127.0.0.1:" << freePort() << "\"\n";
        }
        out << "zone: \"north\"\nregion: \"home\"\nzones:\n  north: \"home\"\n"
            << "inside_ports: [" << inside << ", " << inside + 50 << "]\n"
            << "seed_nodes: [\"127.0.0.1:" << port << "\"]\nfirst_run: true\nbeat_every: \"1500ms\"\n"
            << "bounds:\n  grace: \"300ms\"\n";
        return out.str();
    }
    bool readMore() {
        std::array<char, 4096> bytes{};
        const ssize_t size = ::read(log_, bytes.data(), bytes.size());
        if (size <= 0) return false;
        text_.append(bytes.data(), static_cast<std::size_t>(size));
        return true;
    }

    std::string folder_, settingsPath_, settingsText_, text_;
    pid_t pid_ = 0;
    int log_ = -1, settingsPipe_ = -1;
};

// Every line of the log is whole, and the last one tells of the end.
void requireWholeLog(const std::string& log) {
    REQUIRE(log.ends_with('\n'));
    std::string last;
    for (std::size_t from = 0; from < log.size();) {
        const std::size_t to = log.find('\n', from);
        rapidjson::Document line;
        line.Parse(log.data() + from, to - from);
        INFO(log.substr(from, to - from));
        REQUIRE(line.IsObject());
        last = line["event"].GetString();
        from = to + 1;
    }
    CHECK(last == "ended");
}

}  // namespace

TEST_CASE("SIGTERM ends each role with status 0 and a whole log") {
    const std::string role = GENERATE("controller", "edge-proxy");
    Running program(role);
    program.awaitEvent("ready");
    program.signal(SIGTERM);
    CHECK(program.awaitEnd() == 0);
    requireWholeLog(program.log());
}

TEST_CASE("Signals close upon each other end the program once, with status 0") {
    const std::string role = GENERATE("controller", "edge-proxy");
    Running program(role);
    program.awaitEvent("ready");
    for (const int number : {SIGHUP, SIGTERM, SIGTERM, SIGHUP, SIGINT}) program.signal(number);
    CHECK(program.awaitEnd() == 0);
    requireWholeLog(program.log());
}

TEST_CASE("SIGTERM before a role has started ends it with status 0 once it has") {
    const std::string role = GENERATE("controller", "edge-proxy");
    Running program(role, Running::Settings::heldBack);
    program.signal(SIGTERM);  // it is waiting for its settings
    program.giveSettings();
    CHECK(program.awaitEnd() == 0);
    requireWholeLog(program.log());
}

}  // namespace marldale::program
