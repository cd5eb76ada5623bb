#include "gateway/log/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <chrono>

namespace marldale::log {
namespace {

constexpr int kLinesASecond = 200;

struct Out {
    log4cxx::LoggerPtr logger;
    std::string node;
    Level least = Level::info;
    std::int64_t second = 0;
    int lines = 0;
    std::int64_t dropped = 0;
};
Out& out() {
    static Out one;
    return one;
}
const char* nameOf(Level level) {
    switch (level) {
        case Level::debug: return "debug";
        case Level::info: return "info";
        case Level::warn: return "warn";
        case Level::error: return "error";
    }
    return "?";
}

}  // namespace

void begin(const std::string& node, Level least) {
    out().node = node;
    out().least = least;
    auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    out().logger = log4cxx::Logger::getRootLogger();
    out().logger->removeAllAppenders();
    out().logger->addAppender(console);
    out().logger->setLevel(log4cxx::Level::getAll());
}

void event(Level level, std::string_view name, const std::vector<Field>& fields) {
    Out& o = out();
    if (level < o.least || !o.logger) return;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    if (now / 1000 != o.second) {
        o.second = now / 1000;
        o.lines = 0;
    }
    if (++o.lines > kLinesASecond) {
        ++o.dropped;
        return;
    }
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> json(text);
    const auto string = [&](std::string_view s) { json.String(s.data(), static_cast<unsigned>(s.size())); };
    json.StartObject();
    json.Key("at");
    json.Int64(now);
    json.Key("level");
    json.String(nameOf(level));
    json.Key("node");
    string(o.node);
    json.Key("event");
    string(name);
    for (const Field& field : fields) {
        json.Key(field.key.data(), static_cast<unsigned>(field.key.size()));
        if (const auto* s = std::get_if<std::string>(&field.value)) string(*s);
        if (const auto* i = std::get_if<std::int64_t>(&field.value)) json.Int64(*i);
        if (const auto* d = std::get_if<double>(&field.value)) json.Double(*d);
        if (const auto* b = std::get_if<bool>(&field.value)) json.Bool(*b);
    }
    if (o.dropped > 0) {
        json.Key("dropped");
        json.Int64(o.dropped);
        o.dropped = 0;
    }
    json.EndObject();
    LOG4CXX_INFO(o.logger, text.GetString());
}

}  // namespace marldale::log
