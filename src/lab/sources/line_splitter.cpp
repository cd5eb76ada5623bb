#include "sources/line_splitter.h"

#include <cstring>

namespace marldale::sources {

// More bytes behind those that stand. A line that fills the buffer is too long: of it only the first bytes
// are kept.
bool LineSplitter::fill() {
    if (!error_.empty()) return false;
    if (to_ - from_ >= kLineMost) {
        if (skipped_ == 0) kept_.assign(buffer_.data() + from_, kLineMost);
        skipped_ += to_ - from_;
        from_ = to_ = looked_ = 0;
    } else if (from_ > 0 && buffer_.size() - to_ < kLineMost) {
        std::memmove(buffer_.data(), buffer_.data() + from_, to_ - from_);
        to_ -= from_;
        looked_ -= from_;
        from_ = 0;
    }
    try {
        const std::size_t got = source_.read(buffer_.data() + to_, buffer_.size() - to_);
        to_ += got;
        return got > 0;
    } catch (const SourceError& e) {
        error_ = e.what();
        return false;
    }
}

// The line up to `end`; `endBytes` more belong to it.
bool LineSplitter::cut(Line& line, std::size_t end, std::size_t endBytes) {
    line.text = {buffer_.data() + from_, end - from_};
    line.offset = offset_;
    line.bytes = skipped_ + end - from_ + endBytes;
    line.number = ++number_;
    line.tooLong = skipped_ > 0 || line.text.size() > kLineMost;
    line.withoutEnd = endBytes == 0;
    if (skipped_ > 0) line.text = kept_;
    if (line.tooLong) line.text = line.text.substr(0, kLineMost);
    if (!line.tooLong && line.text.ends_with('\r')) line.text.remove_suffix(1);
    skipped_ = 0;
    from_ = looked_ = end + endBytes;
    offset_ += line.bytes;
    return true;
}

bool LineSplitter::next(Line& line, bool last) {
    for (;;) {
        const void* end = std::memchr(buffer_.data() + looked_, '\n', to_ - looked_);
        if (end != nullptr) {
            return cut(line, static_cast<std::size_t>(static_cast<const char*>(end) - buffer_.data()), 1);
        }
        looked_ = to_;
        if (fill()) continue;
        if (!last && error_.empty()) return false;
        if (from_ != to_ || skipped_ > 0) return cut(line, to_, 0);
        if (!error_.empty()) throw SourceError(error_);
        return false;
    }
}

}  // namespace marldale::sources
