// Lines of a byte source with their places. Memory is one buffer, whatever the file's size.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sources/byte_source.h"

namespace marldale::sources {

inline constexpr std::size_t kLineMost = std::size_t{64} << 10U;  // bytes of a line that is looked at

struct Line {
    std::string_view
        text;  // without its end; of one that is too long, its first bytes. Valid until the next.
    std::uint64_t offset = 0;  // of its first byte, unpacked
    std::uint64_t bytes = 0;   // with its end
    std::uint64_t number = 0;  // from 1
    bool tooLong = false;
    bool withoutEnd = false;  // the source ended before it did
};

class LineSplitter {
public:
    explicit LineSplitter(ByteSource& source) : source_(source), buffer_(kBuffer) {}

    // False: there is no line now. A source that may grow is asked again by another call; what it has of a
    // line that has no end yet waits for it, until `last` says that there will be no more. Throws
    // SourceError, and hands on what came before first.
    [[nodiscard]] bool next(Line& line, bool last = true);

private:
    static constexpr std::size_t kBuffer = std::size_t{256} << 10U;

    [[nodiscard]] bool fill();
    [[nodiscard]] bool cut(Line& line, std::size_t end, std::size_t endBytes);

    ByteSource& source_;
    std::vector<char> buffer_;
    std::size_t from_ = 0, to_ = 0, looked_ = 0;  // the line's begin, what has come, what holds no end
    std::uint64_t offset_ = 0, number_ = 0;
    std::string kept_;           // the beginning of a line that is too long
    std::uint64_t skipped_ = 0;  // bytes of it so far
    std::string error_;
};

}  // namespace marldale::sources
