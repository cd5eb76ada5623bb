// HAR 1.2 (http://www.softwareishard.com/blog/har-12-spec/). A scanner finds the entries in the stream of
// bytes, and simdjson reads each by itself: memory is that of one entry, and a bad one does not take its
// neighbours along. Members that begin with `_` are skipped, but for `_error`, by which browsers say why
// there is no answer.
#include <simdjson.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "sources/readers.h"

namespace marldale::sources {
namespace {

constexpr std::size_t kStringMost = std::size_t{64} << 10U;  // kept of a string; bodies may have any size
constexpr std::size_t kEntryMost = std::size_t{4} << 20U;    // of an entry with its strings cut
constexpr std::size_t kDepthMost = 256;
constexpr std::size_t kHeadersMost = 64;
constexpr double kLongestMs = 24 * 3600 * 1e3;

// Bytes of a string that mean something: its end, and an escape.
constexpr std::array<bool, 256> kInString = [] {
    std::array<bool, 256> out{};
    out['"'] = out['\\'] = true;
    return out;
}();
// And outside of strings.
constexpr std::array<bool, 256> kOutside = [] {
    std::array<bool, 256> out{};
    for (const char c : {'"', '{', '}', '[', ']'}) out[static_cast<unsigned char>(c)] = true;
    return out;
}();

// Finds `log.entries[]` in a stream of JSON and gathers one value of it at a time, strings cut.
class Scanner {
public:
    struct Found {
        std::string text;         // of one entry
        std::uint64_t bytes = 0;  // of the file since the one before
        bool tooLarge = false;
    };

    explicit Scanner(ByteSource& source) : source_(source), buffer_(std::size_t{256} << 10U) {}

    // False at the end of the entries, or where the bytes are no JSON any more.
    bool next(Found& found) {
        found.text.clear();
        found.tooLarge = false;
        gathered_ = &found;
        while (fill()) {
            if (step()) {
                found.bytes = taken() - told_;
                told_ = taken();
                return true;
            }
            if (broken_) break;
        }
        return false;
    }
    // All that is left is read.
    [[nodiscard]] std::uint64_t finish() {
        while (fill()) at_ = size_;
        return taken() - told_;
    }
    [[nodiscard]] std::uint64_t taken() const { return before_ + at_; }
    // The file came to its end where an object of JSON does.
    [[nodiscard]] bool whole() const {
        return !broken_ && error_.empty() && begun_ && stack_.empty() && !inString_;
    }
    [[nodiscard]] bool sawEntries() const { return sawEntries_; }
    [[nodiscard]] const std::string& error() const { return error_; }
    [[nodiscard]] std::uint64_t pages() const { return pages_; }

private:
    enum class Part : std::uint8_t { other, root, log, pages, entries, entry };

    bool fill() {
        if (at_ < size_) return true;
        if (ended_) return false;
        flush(size_);
        mark_ = 0;
        before_ += size_;
        at_ = size_ = 0;
        try {
            size_ = source_.read(buffer_.data(), buffer_.size());
        } catch (const SourceError& e) {
            error_ = e.what();
        }
        ended_ = size_ == 0;
        return !ended_;
    }
    // What has been marked goes to the entry, up to here.
    void flush(std::size_t to) {
        if (!inEntry_ || dropping_) return;
        if (gathered_->text.size() + (to - mark_) > kEntryMost) {
            gathered_->tooLarge = true;
        } else {
            gathered_->text.append(buffer_.data() + mark_, to - mark_);
        }
        mark_ = to;
    }

    // As far as the buffer goes; true when an entry has ended.
    bool step() { return inString_ ? (string(), false) : outside(); }

    void string() {
        const char* const from = buffer_.data() + at_;
        const char* at = from;
        const char* const end = buffer_.data() + size_;
        if (escaped_) {
            escaped_ = false;
            ++at;
        }
        while (at != end && !kInString[static_cast<unsigned char>(*at)]) ++at;
        keep(from, static_cast<std::size_t>(at - from));
        at_ += static_cast<std::size_t>(at - from);
        if (at == end) return;
        ++at_;
        if (*at == '\\') {
            escaped_ = true;
        } else {
            endString();
        }
    }
    // Of a string no more than its beginning goes on. It is cut where a character begins that is none of an
    // escape, nor within one; what may follow an escape goes on with it.
    void keep(const char* from, std::size_t size) {
        length_ += size;
        if (!inEntry_) {
            if (keyLength_ + size <= key_.size()) {
                std::copy_n(from, size, key_.begin() + static_cast<std::ptrdiff_t>(keyLength_));
            }
            keyLength_ += size;
            return;
        }
        if (dropping_ || length_ <= kStringMost) return;
        for (std::size_t i = 12; i < size; ++i) {
            if ((from[i] & 0xc0) == 0x80) continue;
            flush(at_ + i);
            dropping_ = true;
            return;
        }
    }
    void beginString() {
        inString_ = true;
        escaped_ = dropping_ = false;
        length_ = keyLength_ = 0;
    }
    void endString() {
        inString_ = false;
        if (dropping_) mark_ = at_ - 1;  // with its quote the text goes on
        dropping_ = false;
    }
    [[nodiscard]] bool lastStringIs(std::string_view name) const {
        return keyLength_ == name.size() && std::equal(name.begin(), name.end(), key_.begin());
    }

    bool outside() {
        const char* const from = buffer_.data() + at_;
        const char* at = from;
        const char* const end = buffer_.data() + size_;
        while (at != end && !kOutside[static_cast<unsigned char>(*at)]) ++at;
        at_ += static_cast<std::size_t>(at - from);
        if (at == end) return false;
        ++at_;
        switch (*at) {
            case '"': beginString(); return false;
            case '{':
            case '[': open(*at); return false;
            default: return close(*at);
        }
    }
    void open(char c) {
        const bool object = c == '{';
        Part part = Part::other;
        if (!begun_) {
            part = Part::root;
            begun_ = true;
        } else if (stack_.empty()) {
            broken_ = true;
            return;
        } else if (stack_.back().part == Part::root && object && lastStringIs("log")) {
            part = Part::log;
        } else if (stack_.back().part == Part::log && !object && lastStringIs("entries")) {
            part = Part::entries;
            sawEntries_ = true;
        } else if (stack_.back().part == Part::log && !object && lastStringIs("pages")) {
            part = Part::pages;
        } else if (stack_.back().part == Part::pages && object) {
            ++pages_;
        } else if (stack_.back().part == Part::entries) {
            part = Part::entry;
            inEntry_ = true;
            mark_ = at_ - 1;
        }
        if (stack_.size() >= kDepthMost) {
            broken_ = true;
            return;
        }
        stack_.push_back({part, c});
    }
    bool close(char c) {
        if (stack_.empty() || stack_.back().open != (c == '}' ? '{' : '[')) {
            broken_ = true;
            return false;
        }
        const bool entry = stack_.back().part == Part::entry;
        stack_.pop_back();
        if (!entry) return false;
        flush(at_);
        inEntry_ = false;
        return true;
    }

    struct Level {
        Part part;
        char open;
    };
    ByteSource& source_;
    std::vector<char> buffer_;
    std::size_t at_ = 0, size_ = 0, mark_ = 0;  // what is read, what there is, what has not gone to the entry
    std::uint64_t before_ = 0, told_ = 0, pages_ = 0;
    bool ended_ = false, begun_ = false, broken_ = false, inString_ = false, escaped_ = false,
         dropping_ = false;
    bool inEntry_ = false, sawEntries_ = false;
    std::size_t length_ = 0, keyLength_ = 0;
    std::array<char, 16> key_{};  // the last string outside of entries, if it is so short
    std::vector<Level> stack_;
    Found* gathered_ = nullptr;
    std::string error_;
};

using simdjson::dom::element;

bool member(element of, const char* name, element& into) { return of[name].get(into) == simdjson::SUCCESS; }
bool textOf(element of, const char* name, std::string_view& into) {
    return of[name].get(into) == simdjson::SUCCESS;
}
// -1 where there is none; false where there is something else.
bool numberOf(element of, const char* name, double& into) {
    into = -1;
    element value;
    if (!member(of, name, value) || value.is_null()) return true;
    return value.get(into) == simdjson::SUCCESS;
}

// One entry, judged.
class HarEntry {
public:
    // Why it is bad, or nothing. `record` has views that hold until the next.
    std::string_view read(const std::string& text, Record& record, bool& blocked) {
        record = {};
        url_ = {};
        blocked = false;
        element entry;
        if (parser_.parse(text).get(entry) != simdjson::SUCCESS) return "the entry is no JSON";
        if (!entry.is_object()) return "the entry is no object";
        std::string_view started;
        if (!textOf(entry, "startedDateTime", started)) return "there is no startedDateTime";
        const auto stamp = readIsoTime(started);
        if (!stamp) return "startedDateTime is no time";
        record.at = stamp->at;
        record.grain = stamp->grain;
        const std::string_view wrong = request(entry, record, blocked);
        if (!wrong.empty() || blocked) return wrong;
        return response(entry, record, blocked);
    }
    [[nodiscard]] std::string_view url() const { return url_; }

private:
    std::string_view request(element entry, Record& record, bool& blocked) {
        url_ = {};
        element request;
        if (!member(entry, "request", request) || !textOf(request, "method", record.method) ||
            !textOf(request, "url", url_)) {
            return "there is no request with method and url";
        }
        if (!splitUrl(url_, record.host, record.target)) {
            blocked = url_.starts_with("data:") || url_.starts_with("blob:");
            return blocked ? "" : "the url is no http one";
        }
        if (!textOf(entry, "clientIPAddress", record.client))
            (void)textOf(entry, "_clientAddress", record.client);
        headers(request, record);
        return {};
    }
    void headers(element request, Record& record) {
        simdjson::dom::array all;
        if (request["headers"].get(all) != simdjson::SUCCESS) return;
        names_.clear();
        names_.reserve(kHeadersMost);
        for (const element header : all) {
            std::string_view name, value;
            if (names_.size() >= kHeadersMost || !textOf(header, "name", name) ||
                !textOf(header, "value", value))
                continue;
            std::string small(name);
            std::transform(small.begin(), small.end(), small.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            // Values of these are secrets, and no rule may look at them.
            if (small == "cookie" || small == "authorization" || small == "proxy-authorization") continue;
            if (small == "x-request-id") record.requestId = value;
            names_.push_back(std::move(small));
            record.headers.emplace_back(names_.back(), value);
        }
    }
    std::string_view response(element entry, Record& record, bool& blocked) {
        element response, content, timings;
        double time = -1, status = -1, body = -1, size = -1;
        std::string_view error;
        if (!numberOf(entry, "time", time)) return "time is no number";
        if (time > kLongestMs || !std::isfinite(time)) return "time is out of range";
        if (time < 0 && member(entry, "timings", timings)) time = sumOf(timings);
        record.took = time < 0 ? -1 : std::llround(time * 1000);
        (void)textOf(entry, "_error", error);
        if (member(entry, "response", response)) {
            if (!numberOf(response, "status", status)) return "the status is no number";
            if (!numberOf(response, "bodySize", body)) return "bodySize is no number";
            if (member(response, "content", content) && !numberOf(content, "size", size))
                return "size is no number";
            (void)textOf(response, "_error", error);
        }
        if (status > 599 || (status > 0 && status < 100) || status != std::floor(status)) {
            return "the status is out of range";
        }
        const auto says = [&](const char* word) { return error.find(word) != std::string_view::npos; };
        blocked = says("BLOCKED") || says("CACHE_MISS");
        // -1 is what the format says for a size that is not known.
        const double bytes = body >= 0 ? body : size;
        auto& a = record.answer;
        a.bytes = bytes < 0 || bytes > 1e15 ? -1 : static_cast<std::int64_t>(bytes);
        a.status = status > 0 ? static_cast<int>(status) : 0;
        if (a.status > 0) {
            a.ended = says("ABORTED") ? attempts::Ended::aborted : attempts::Ended::answered;
        } else {
            a.ended = says("REFUSED") || says("NAME_NOT_RESOLVED") || says("ADDRESS_UNREACHABLE")
                          ? attempts::Ended::neverSent
                      : says("TIMED_OUT") ? attempts::Ended::timedOut
                      : says("ABORTED")   ? attempts::Ended::aborted
                      : says("RESET") || says("CLOSED") || says("EMPTY_RESPONSE")
                          ? attempts::Ended::cut
                          : attempts::Ended::notRecorded;
        }
        return {};
    }
    // `ssl` is within `connect`; -1 stands for what does not apply.
    static double sumOf(element timings) {
        double out = 0, part = -1;
        for (const char* name : {"blocked", "dns", "connect", "send", "wait", "receive"}) {
            if (numberOf(timings, name, part) && part > 0) out += part;
        }
        return out > 0 && out <= kLongestMs ? out : -1;
    }

    simdjson::dom::parser parser_;
    std::string_view url_;
    std::vector<std::string> names_;
};

}  // namespace

HarCounts readHar(ByteSource& source, std::uint32_t file, Sink& sink) {
    Scanner scanner(source);
    Scanner::Found found;
    HarEntry reader;
    HarCounts out;
    // An entry is told when the next has come, so that what stands between them has its place too.
    Place place{file, 0, 0, 0, 0};
    bool pending = false;
    std::string text;
    bool tooLarge = false;
    const auto tell = [&] {
        if (!pending) return;
        pending = false;
        if (tooLarge) return sink.bad(place, "the entry is larger than 4 MiB, with its strings cut", {});
        Record record;
        bool blocked = false;
        const std::string_view wrong = reader.read(text, record, blocked);
        if (!wrong.empty()) return sink.bad(place, wrong, reader.url());
        if (blocked) return sink.leftOut(place, LeftOut::blocked);
        sink.entry(place, record);
    };
    while (scanner.next(found)) {
        tell();
        place = {file, place.offset + place.bytes, found.bytes, ++out.entries, 0};
        text.swap(found.text);
        tooLarge = found.tooLarge;
        pending = true;
    }
    const std::uint64_t rest = scanner.finish();
    out.pages = scanner.pages();
    if (scanner.whole() && out.entries > 0) {
        place.bytes += rest;  // the file's end belongs to its last entry
        tell();
    } else {
        tell();
        place = {file, place.offset + place.bytes, rest, ++out.entries, 0};
        sink.bad(place,
                 !scanner.error().empty() ? std::string_view(scanner.error())
                 : !scanner.whole()       ? "the JSON breaks off or is wrong from here on"
                 : scanner.sawEntries()   ? "there are no entries"
                                          : "there is no log with entries",
                 {});
    }
    out.bytes = scanner.taken();
    return out;
}

}  // namespace marldale::sources
