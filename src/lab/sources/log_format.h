// Access logs by a format string: Common and Combined Log Format, nginx's `log_format`, Apache's `LogFormat`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sources/record.h"

namespace marldale::sources {

inline constexpr const char* kCommon = R"(%h %l %u %t "%r" %>s %b)";
inline constexpr const char* kCombined = R"(%h %l %u %t "%r" %>s %b "%{Referer}i" "%{User-Agent}i")";

// What a format can't say of an entry, in words for a person.
struct Blind {
    bool wholeSeconds = false, noDuration = false, noClient = false, endStamp = false, noHost = false,
         noRequestId = false;
    [[nodiscard]] std::vector<std::string> words() const;
};

class LogFormat {
public:
    // `common`, `combined`, or a format string with `$names` (nginx) or `%directives` (Apache). Nothing, and
    // what is wrong at which column, if it is none, or lacks the time or the request.
    [[nodiscard]] static std::optional<LogFormat> compile(std::string_view format, std::string& wrong);

    // False: `column` (from 1) and `why` tell what is wrong. `record` has views into the line.
    [[nodiscard]] bool read(std::string_view line, Record& record, std::uint32_t& column,
                            std::string_view& why) const;

    [[nodiscard]] const Blind& blind() const { return blind_; }
    // Minutes east of UTC of stamps that do not tell.
    void setAssumedOffset(int minutes) { assumedOffset_ = minutes; }

private:
    enum class Field : std::uint8_t {
        skip,
        client,
        user,
        time,
        isoTime,
        epoch,
        epochMillis,
        request,
        method,
        uri,
        query,
        host,
        status,
        bytes,
        seconds,
        millis,
        micros,
        secondsOrMicros,
        upstreamSeconds,
        requestId
    };
    struct Part {
        Field field = Field::skip;
        bool quoted = false;  // it stands between quotes, in which a backslash escapes
        std::string literal;  // that follows
        // Of a time: neighbouring lines mostly have the same.
        mutable std::string lastText;
        mutable Stamp lastStamp;
    };
    struct Names;
    [[nodiscard]] static std::optional<Field> nginx(std::string_view name);
    [[nodiscard]] static std::optional<Field> apache(std::string_view directive, std::string_view argument);
    [[nodiscard]] bool compileNginx(std::string_view format, std::string& wrong);
    [[nodiscard]] bool compileApache(std::string_view format, std::string& wrong);
    [[nodiscard]] bool finish(std::string& wrong);
    void add(Field field) { parts_.emplace_back().field = field; }
    void literal(char c) { (parts_.empty() ? prefix_ : parts_.back().literal) += c; }
    [[nodiscard]] std::string_view take(const Part& part, std::string_view field, Record& record) const;

    std::string prefix_;
    std::vector<Part> parts_;
    Blind blind_;
    int assumedOffset_ = 0;
    bool startStamp_ = false;  // Apache's %t is the start
};

}  // namespace marldale::sources
