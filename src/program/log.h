// The program's log: fprintf to standard error behind one rate-limited function.
#pragma once

#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>

namespace marldale::program {

class Log {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit Log(std::FILE* to = stderr);

    // Any thread. `topic` is a literal; each has its own allowance, and what goes over it is counted.
    void line(const char* topic, const std::string& text, Time now = std::chrono::steady_clock::now());
    void flush();  // lines are not flushed one by one

private:
    struct Allowance {
        Time since{};
        int written = 0, leftOut = 0;
    };

    std::FILE* to_;
    std::mutex mutex_;
    std::map<std::string, Allowance> topics_;
};

}  // namespace marldale::program
