// The program's log: spdlog behind one rate-limited function. One event is one line, as text for people or as
// one JSON object with stable keys.
#pragma once

#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "program/settings.h"

namespace spdlog {
class logger;
namespace sinks {
class sink;
}
}  // namespace spdlog

namespace marldale::program {

// Text:  SECONDS.MILLIS marldale: TOPIC: TEXT
// JSON:  {"time":"2026-01-31T12:00:00.000Z","level":"info","name":"n0","topic":"phase","text":"serving"}
// In both, what a topic left out is a line of its own ("left_out" in JSON, with the number).
class Log {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit Log(std::FILE* to = stderr, LogSettings settings = {});
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    void set(const LogSettings& settings);  // from now on
    void setName(const std::string& name);  // of this planner, for lines in JSON

    // Any thread. `topic` is a literal; each has its own allowance, and what goes over it is counted.
    void line(const char* topic, const std::string& text, Time now = std::chrono::steady_clock::now());
    void flush();  // lines are not flushed one by one

private:
    struct Topic {
        std::shared_ptr<spdlog::logger> logger;
        Time since{};
        int written = 0, leftOut = 0;
    };
    Topic& topic(const char* name);

    std::mutex mutex_;
    LogSettings settings_;
    std::string name_;
    std::shared_ptr<spdlog::sinks::sink> sink_;
    std::map<std::string, Topic, std::less<>> topics_;
};

}  // namespace marldale::program
