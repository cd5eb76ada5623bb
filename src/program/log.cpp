#include "program/log.h"

#include <algorithm>

namespace marldale::program {
namespace {

constexpr int kLinesMost = 10;               // of one topic
constexpr std::chrono::seconds kWithin{10};  // in this time
constexpr std::size_t kTextMost = 300;       // what a stranger sent must not fill the log
constexpr std::size_t kBuffer = 16384;

std::string printable(const std::string& text) {
    std::string out = text.substr(0, kTextMost);
    std::replace_if(
        out.begin(), out.end(), [](unsigned char c) { return c < ' ' || c > '~'; }, '?');
    return out;
}

}  // namespace

Log::Log(std::FILE* to) : to_(to) { std::setvbuf(to_, nullptr, _IOFBF, kBuffer); }

void Log::line(const char* topic, const std::string& text, Time now) {
    const std::lock_guard lock(mutex_);
    Allowance& a = topics_[topic];
    if (a.written == 0 || now - a.since >= kWithin) {
        if (a.leftOut > 0) std::fprintf(to_, "marldale: %s: %d lines left out\n", topic, a.leftOut);
        a = {now, 0, 0};
    }
    if (a.written >= kLinesMost) {
        ++a.leftOut;
        return;
    }
    ++a.written;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    std::fprintf(to_, "%lld.%03lld marldale: %s: %s\n", static_cast<long long>(ms / 1000),
                 static_cast<long long>(ms % 1000), topic, printable(text).c_str());
}

void Log::flush() {
    const std::lock_guard lock(mutex_);
    std::fflush(to_);
}

}  // namespace marldale::program
