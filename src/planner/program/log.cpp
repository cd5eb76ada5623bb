#include "program/log.h"

#include <spdlog/formatter.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace marldale::program {
namespace {

constexpr std::size_t kTextMost = 300;  // what a stranger sent must not fill the log
constexpr std::size_t kBuffer = 16384;
constexpr std::string_view kLeftOut = " lines left out";

std::string printable(const std::string& text) {
    std::string out = text.substr(0, kTextMost);
    std::replace_if(
        out.begin(), out.end(), [](unsigned char c) { return c < ' ' || c > '~'; }, '?');
    return out;
}

std::int64_t millisOf(const spdlog::log_clock::time_point& time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

// A topic is the name of its logger; a line on what was left out is told by its level.
constexpr auto kOfLeftOut = spdlog::level::warn;

class TextForm : public spdlog::formatter {
public:
    void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& out) override {
        const auto ms = millisOf(message.time);
        fmt::format_to(std::back_inserter(out), "{}.{:03} marldale: {}: {}{}\n", ms / 1000, ms % 1000,
                       view(message.logger_name), view(message.payload),
                       message.level == kOfLeftOut ? kLeftOut : "");
    }
    [[nodiscard]] std::unique_ptr<formatter> clone() const override { return std::make_unique<TextForm>(); }

protected:
    static std::string_view view(const spdlog::string_view_t& text) { return {text.data(), text.size()}; }
};

class JsonForm : public TextForm {
public:
    explicit JsonForm(std::string name) : name_(std::move(name)) {}
    void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& out) override {
        const auto ms = millisOf(message.time);
        const auto seconds = static_cast<std::time_t>(ms / 1000);
        std::tm utc{};
        gmtime_r(&seconds, &utc);
        std::array<char, 32> time{};
        std::strftime(time.data(), time.size(), "%Y-%m-%dT%H:%M:%S", &utc);
        nlohmann::ordered_json line;
        line["time"] = fmt::format("{}.{:03}Z", time.data(), ms % 1000);
        line["level"] = view(spdlog::level::to_string_view(message.level));
        line["name"] = name_;
        line["topic"] = view(message.logger_name);
        const std::string_view text = view(message.payload);
        if (message.level == kOfLeftOut) {
            line["left_out"] = std::stol(std::string(text));
        } else {
            line["text"] = text;
        }
        fmt::format_to(std::back_inserter(out), "{}\n", line.dump());
    }
    [[nodiscard]] std::unique_ptr<formatter> clone() const override {
        return std::make_unique<JsonForm>(name_);
    }

private:
    std::string name_;
};

// Lines gather in the file's buffer: a write for each would cost more than all the rest of logging.
class FileSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit FileSink(std::FILE* to) : to_(to) { std::setvbuf(to_, nullptr, _IOFBF, kBuffer); }

private:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        std::fwrite(line.data(), 1, line.size(), to_);
    }
    void flush_() override { std::fflush(to_); }

    std::FILE* to_;
};

std::unique_ptr<spdlog::formatter> formOf(const LogSettings& settings, const std::string& name) {
    if (settings.form == LogForm::json) return std::make_unique<JsonForm>(name);
    return std::make_unique<TextForm>();
}

}  // namespace

Log::Log(std::FILE* to, LogSettings settings) : sink_(std::make_shared<FileSink>(to)) { set(settings); }

Log::~Log() { flush(); }

void Log::set(const LogSettings& settings) {
    const std::lock_guard lock(mutex_);
    settings_ = settings;
    sink_->set_formatter(formOf(settings_, name_));
}

void Log::setName(const std::string& name) {
    const std::lock_guard lock(mutex_);
    name_ = name;
    sink_->set_formatter(formOf(settings_, name_));
}

Log::Topic& Log::topic(const char* name) {
    const auto at = topics_.find(name);
    if (at != topics_.end()) return at->second;
    return topics_.emplace(name, Topic{std::make_shared<spdlog::logger>(name, sink_)}).first->second;
}

void Log::line(const char* name, const std::string& text, Time now) {
    const std::lock_guard lock(mutex_);
    Topic& t = topic(name);
    if (t.written == 0 || now - t.since >= settings_.within) {
        if (t.leftOut > 0) t.logger->log(kOfLeftOut, t.leftOut);
        t.since = now;
        t.written = t.leftOut = 0;
    }
    if (t.written >= settings_.linesMost) {
        ++t.leftOut;
        return;
    }
    ++t.written;
    t.logger->info(printable(text));
}

void Log::flush() {
    const std::lock_guard lock(mutex_);
    sink_->flush();
}

}  // namespace marldale::program
