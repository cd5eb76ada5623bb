// One recorded request, whatever wrote it down, and where it stands.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "attempts/outcome.h"
#include "sources/stamp.h"

namespace marldale::sources {

// The views are valid until the reader reads on.
struct Record {
    Micros at = 0, grain = 0;  // Unix time of the start, or of the end where `atEnd` says so
    bool atEnd = false;
    Micros took = -1;                       // -1: not told
    std::string_view method, host, target;  // target: path and query as they were sent
    std::string_view client, user, requestId;
    attempts::Answer answer;
    unsigned upstreamTries = 0;  // that a proxy made behind this entry; 0: not told
    // Of the request, by names in small letters; HAR only. Pairs of name and value.
    std::vector<std::pair<std::string_view, std::string_view>> headers;
};

struct Place {
    std::uint32_t file = 0;
    std::uint64_t offset = 0, bytes = 0;
    std::uint64_t line = 0;    // of a log; of HAR the number of the entry
    std::uint32_t column = 0;  // from 1, where something is wrong; 0: the whole
};

// Why an entry is left out although it could be read.
enum class LeftOut : std::uint8_t {
    comment,        // an empty line, or one that begins with #
    noRequest,      // the log notes a connection without a request
    blocked,        // HAR: the browser never sent it, or took it from its cache
    notChosen,      // no class of the rules fits, and they say that such entries are not wanted
    overlap,        // the file before ends with it
    straggler,      // older than what was released already
    outsideWindow,  // of the time asked for
    count_
};
[[nodiscard]] const char* name(LeftOut rule);

struct Sink {
    virtual ~Sink() = default;
    virtual void entry(const Place& place, const Record& record) = 0;
    virtual void bad(const Place& place, std::string_view why, std::string_view excerpt) = 0;
    virtual void leftOut(const Place& place, LeftOut rule) = 0;
};

// Printable ASCII of what stands around a column, for a screen; anything else becomes `?`, and values of
// queries `..`.
[[nodiscard]] std::string harmless(std::string_view excerpt, std::size_t column, std::size_t most = 80);

// `GET /a?b HTTP/1.1` in its parts. False if it is none.
[[nodiscard]] bool splitRequestLine(std::string_view line, std::string_view& method,
                                    std::string_view& target);
// The path without the query, and without a fragment.
[[nodiscard]] std::string_view pathOf(std::string_view target);
// Host and target of an absolute URL; false if it is none of http or https.
[[nodiscard]] bool splitUrl(std::string_view url, std::string_view& host, std::string_view& target);

}  // namespace marldale::sources
