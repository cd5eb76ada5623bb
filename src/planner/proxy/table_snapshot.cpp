#include "proxy/table_snapshot.h"

#define XXH_INLINE_ALL
#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace marldale::proxy {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kMagic = "marldale-tables 1 ";
constexpr std::size_t kHash = 16;                           // digits
constexpr std::size_t kBytesMost = std::size_t{64} << 20U;  // of a file

std::string hashOf(std::string_view bytes) {
    std::array<char, kHash + 1> out{};
    std::snprintf(out.data(), out.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return out.data();
}

[[noreturn]] void failed(const std::string& what) {
    throw std::runtime_error(what + ": " + std::strerror(errno));
}

bool readOrder(const Json& from, ClassOrder& out) {
    const auto limit = from.find("limit"), mode = from.find("retry_mode"), lines = from.find("lines");
    if (!from.is_object() || limit == from.end() || mode == from.end() || lines == from.end()) return false;
    if (!limit->is_number() || !mode->is_number_unsigned() || !lines->is_object()) return false;
    out.limit = limit->get<float>();
    out.retryMode = mode->get<unsigned>();
    for (const auto& [box, weight] : lines->items()) {
        if (!weight.is_number() || !(weight.get<float>() > 0) || !std::isfinite(weight.get<float>()))
            return false;
        out.lines[box] = weight.get<float>();
    }
    return out.limit >= 0 && out.retryMode <= 3;
}

}  // namespace

std::string encode(const TableSnapshot& snapshot) {
    Json classes = Json::object();
    for (const auto& [name, order] : snapshot.orders.byClass)
        classes[name] = {{"limit", order.limit}, {"retry_mode", order.retryMode}, {"lines", order.lines}};
    const Json whole{{"node", snapshot.node},
                     {"written_us", snapshot.wallUs},
                     {"shut_out", snapshot.orders.shut},
                     {"classes", classes}};
    // Names that are no UTF-8 are not written as they are; none that discovery's JSON gave is.
    const std::string body = whole.dump(1, ' ', false, Json::error_handler_t::replace) + "\n";
    return sealed(body);
}

std::string sealed(std::string_view body) {
    return std::string(kMagic) + hashOf(body) + "\n" + std::string(body);
}

std::optional<TableSnapshot> decodeTables(std::string_view bytes, std::string& wrong) {
    const std::size_t head = kMagic.size() + kHash + 1;
    const auto refuse = [&](const char* why) {
        wrong = why;
        return std::nullopt;
    };
    if (!bytes.starts_with("marldale-tables ")) return refuse("it is no snapshot of tables");
    if (!bytes.starts_with(kMagic)) return refuse("it is of another version");
    if (bytes.size() < head || bytes[head - 1] != '\n') return refuse("it is cut");
    const std::string_view body = bytes.substr(head);
    if (bytes.substr(kMagic.size(), kHash) != hashOf(body)) return refuse("it is damaged or cut");
    const Json whole = Json::parse(body, nullptr, false);
    if (!whole.is_object()) return refuse("it holds no object");
    TableSnapshot out;
    const auto node = whole.find("node"), at = whole.find("written_us"), shut = whole.find("shut_out"),
               classes = whole.find("classes");
    for (const auto& part : {node, at, shut, classes}) {
        if (part == whole.end()) return refuse("a part is missing");
    }
    if (!node->is_string() || !at->is_number_integer() || !shut->is_array() || !classes->is_object())
        return refuse("a part is of another kind");
    out.node = node->get<std::string>();
    out.wallUs = at->get<std::int64_t>();
    for (const Json& box : *shut) {
        if (!box.is_string()) return refuse("a part is of another kind");
        out.orders.shut.insert(box.get<std::string>());
    }
    for (const auto& [name, order] : classes->items()) {
        if (!readOrder(order, out.orders.byClass[name])) return refuse("a table that can't be");
    }
    return out;
}

std::optional<Orders> usable(const TableSnapshot& snapshot, const std::string& node, std::int64_t wallNowUs,
                             Micros most, std::string& wrong) {
    if (snapshot.node != node)
        wrong = "it is of " + snapshot.node + ", not of " + node;
    else if (snapshot.wallUs > wallNowUs)
        wrong = "the clock has gone back since it was written";
    else if (wallNowUs - snapshot.wallUs > most)
        wrong = "it is " + std::to_string((wallNowUs - snapshot.wallUs) / 1000000) + " s old";
    else
        return snapshot.orders;
    return std::nullopt;
}

void writeTables(const std::string& path, const std::string& bytes) {
    const std::string next = path + ".next";
    const int fd = ::open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) failed(next);
    std::size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t n = ::write(fd, bytes.data() + at, bytes.size() - at);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) {
            const int why = errno;
            ::close(fd);
            ::unlink(next.c_str());
            errno = why;
            failed(next);
        }
        at += static_cast<std::size_t>(n);
    }
    const bool kept = ::fsync(fd) == 0;
    if (::close(fd) != 0 || !kept) failed(next);
    if (::rename(next.c_str(), path.c_str()) != 0) failed(path);
}

std::optional<TableSnapshot> readTables(const std::string& path, std::string& wrong) {
    std::ifstream in(path, std::ios::binary | std::ios::ate);
    if (!in) {
        if (errno != ENOENT) wrong = std::strerror(errno);
        return std::nullopt;
    }
    if (const auto size = in.tellg(); size < 0 || static_cast<std::size_t>(size) > kBytesMost) {
        wrong = "it is too large, or no file";
        return std::nullopt;
    }
    in.seekg(0);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    return decodeTables(bytes, wrong);
}

TableWriter::TableWriter(std::string path, std::function<void(const std::string&)> failed)
    : path_(std::move(path)), failed_(std::move(failed)), thread_([this] { work(); }) {}

TableWriter::~TableWriter() {
    {
        const std::lock_guard lock(mutex_);
        ends_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void TableWriter::write(std::string bytes) {
    {
        const std::lock_guard lock(mutex_);
        waits_ = std::move(bytes);
    }
    wake_.notify_one();
}

void TableWriter::work() {
    for (;;) {
        std::optional<std::string> bytes;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return waits_ || ends_; });
            if (!waits_) return;
            bytes = std::exchange(waits_, std::nullopt);
        }
        try {
            writeTables(path_, *bytes);
        } catch (const std::runtime_error& e) {
            failed_(e.what());
        }
    }
}

}  // namespace marldale::proxy
