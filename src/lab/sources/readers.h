// The readers: bytes in, entries, bad places and left-out ones to a sink. Each byte of a source is told
// exactly once, in one of the three.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sources/line_splitter.h"
#include "sources/log_format.h"
#include "sources/record.h"

namespace marldale::sources {

// Where a JSON line has what; names of members, with `.` into objects.
struct JsonFields {
    std::string time = "time", request, method = "method", host = "host", target = "path", status = "status",
                bytes = "bytes", duration = "duration", client = "client", user = "user",
                requestId = "request_id";
    Micros durationUnit = 1000000;  // of a duration that is a number: seconds
    bool timeIsEnd = true;
};

class LineFormat {
public:
    virtual ~LineFormat() = default;
    // As LogFormat::read.
    [[nodiscard]] virtual bool read(std::string_view line, Record& record, std::uint32_t& column,
                                    std::string_view& why) = 0;
    [[nodiscard]] virtual Blind blind() const = 0;
};
[[nodiscard]] std::unique_ptr<LineFormat> byFormat(LogFormat format);
[[nodiscard]] std::unique_ptr<LineFormat> byJson(JsonFields fields, int assumedOffset = 0);

// Every line that is there now. `last`: no more will come, so a line without its end is whole.
class LineReader {
public:
    LineReader(ByteSource& source, LineFormat& format, std::uint32_t file)
        : lines_(source), format_(format), file_(file) {}
    // How many lines; throws SourceError where the source breaks off, with all before it told.
    std::size_t read(Sink& sink, bool last = true);
    // Called with each line before it is told, if set.
    std::function<void(std::string_view)> onLine;

private:
    LineSplitter lines_;
    LineFormat& format_;
    const std::uint32_t file_;
};

// HAR 1.2, read as a stream: memory is that of one entry, and of a string no more than its first 64 KiB.
// Bytes of the file that are not of an entry are told as the first entry's, or as the file's head where there
// is none.
struct HarCounts {
    std::uint64_t entries = 0, bytes = 0, pages = 0;
};
HarCounts readHar(ByteSource& source, std::uint32_t file, Sink& sink);

// Whether bytes look like a HAR file (an object) and not like lines.
[[nodiscard]] bool looksLikeHar(std::string_view first);

}  // namespace marldale::sources
