// HAR 1.2 (http://www.softwareishard.com/blog/har-12-spec/) over nlohmann's SAX parser. Unknown members and
// those that begin with `_` are skipped, but for `_error`, by which browsers say why there is no answer.
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "sources/readers.h"

namespace marldale::sources {
namespace {

constexpr std::size_t kStringMost = std::size_t{64} << 10U;  // kept of a string; bodies may have any size
constexpr double kLongestMs = 24 * 3600 * 1e3;
constexpr std::size_t kDepthMost = 64;

// Characters of a source, one at a time, for the parser. Of long strings only the beginning goes on.
class Characters {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    struct State {
        explicit State(ByteSource& s) : source(s), buffer(std::size_t{64} << 10U) { step(); }
        // To the next character that goes on; at the end `ended`.
        void step() {
            while (at != size || fill()) {
                current = buffer[at++];
                ++taken;
                if (!inString || (current == '"' && !escaped)) {
                    if (current == '"') begin(!inString);
                    return;
                }
                // What is dropped begins with a character or an escape, and not within a pair of surrogates.
                const bool unit = !escaped && hexLeft == 0 && !pairOpen;
                dropping = dropping || (length >= kStringMost && unit && (current & 0xc0) != 0x80);
                ++length;
                track();
                if (!dropping) return;
            }
        }
        void begin(bool string) {
            inString = string;
            escaped = pairOpen = dropping = false;
            hexLeft = 0;
            length = 0;
        }
        void track() {
            if (escaped) {
                escaped = false;
                hexLeft = current == 'u' ? 4 : 0;
                hex = 0;
                if (hexLeft == 0) pairOpen = false;
            } else if (hexLeft > 0) {
                const unsigned digit = current <= '9' ? current - '0' : (current | 0x20) - 'a' + 10;
                hex = hex * 16 + (digit & 0xfU);
                if (--hexLeft == 0)
                    pairOpen = hex >> 10U == 0x36;  // a high surrogate, whose other half follows
            } else {
                escaped = current == '\\';
                pairOpen = pairOpen && escaped;
            }
        }
        bool fill() {
            if (ended) return false;
            at = 0;
            try {
                size = source.read(buffer.data(), buffer.size());
            } catch (const SourceError& e) {
                error = e.what();
                size = 0;
            }
            ended = size == 0;
            return !ended;
        }
        ByteSource& source;
        std::vector<char> buffer;
        std::size_t at = 0, size = 0, length = 0;
        unsigned hexLeft = 0, hex = 0;
        std::uint64_t taken = 0;
        char current = 0;
        bool inString = false, escaped = false, pairOpen = false, dropping = false, ended = false;
        std::string error;
    };

    Characters() = default;
    explicit Characters(State& state) : state_(&state) {}
    reference operator*() const { return state_->current; }
    Characters& operator++() {
        state_->step();
        return *this;
    }
    Characters operator++(int) {
        state_->step();
        return *this;
    }
    bool operator==(const Characters& other) const { return over() == other.over(); }
    bool operator!=(const Characters& other) const { return !(*this == other); }

private:
    [[nodiscard]] bool over() const {
        return state_ == nullptr || (state_->ended && state_->at == state_->size);
    }
    State* state_ = nullptr;
};

}  // namespace

namespace {

class Har : public nlohmann::json_sax<nlohmann::json> {
public:
    Har(const Characters::State& state, std::uint32_t file, Sink& sink)
        : state_(state), file_(file), sink_(sink) {}

    bool null() override { return value(); }
    bool boolean(bool) override { return value(); }
    bool number_integer(number_integer_t n) override { return number(static_cast<double>(n)); }
    bool number_unsigned(number_unsigned_t n) override { return number(static_cast<double>(n)); }
    bool number_float(number_float_t n, const string_t&) override { return number(n); }
    bool binary(binary_t&) override { return value(); }
    bool string(string_t& text) override {
        const std::string& path = path_;
        if (path == ".startedDateTime")
            started_ = text;
        else if (path == ".request.method")
            method_ = text;
        else if (path == ".request.url")
            url_ = text;
        else if (path == ".response._error" || path == "._error" || path == ".request._error")
            error_ = text;
        else if (path == ".request.headers[].name")
            headerName_ = text;
        else if (path == ".request.headers[].value")
            headerValue_ = text;
        else if (path == ".connection" || path == ".clientIPAddress" || path == "._clientAddress")
            client_ = text;
        else if (path == ".time")
            wrong("time is no number");
        else if (path == ".response.status")
            wrong("the status is no number");
        return value();
    }
    bool start_object(std::size_t) override { return open('{'); }
    bool start_array(std::size_t) override { return open('['); }
    bool end_object() override {
        keys_.back().clear();  // the place is the object itself again
        place();
        if (inEntry_ && path_ == ".request.headers[]") header();
        return close();
    }
    bool end_array() override { return close(); }
    bool key(string_t& name) override {
        keys_.back() = name.substr(0, 64);
        place();
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        broken_ = true;
        return false;
    }

    HarCounts finish(bool whole) {
        const std::uint64_t rest = state_.taken - told_;
        const bool broken = broken_ || !whole || !state_.error.empty();
        if (broken || counts_.entries == 0) {
            flush();
            Place place{file_, told_, rest, ++counts_.entries, 0};
            sink_.bad(place,
                      !state_.error.empty() ? std::string_view(state_.error)
                      : broken              ? "the JSON breaks off or is wrong from here on"
                      : sawEntries_         ? "there are no entries"
                                            : "there is no log with entries",
                      {});
            told_ += rest;
        } else {
            last_.bytes += rest;  // the file's end belongs to its last entry
            told_ += rest;
            flush();
        }
        counts_.bytes = told_;
        return counts_;
    }

private:
    bool value() {
        place();
        return true;
    }
    bool number(double n) {
        if (path_ == ".time")
            time_ = n;
        else if (path_ == ".response.status")
            status_ = n;
        else if (path_ == ".response.bodySize")
            bodySize_ = n;
        else if (path_ == ".response.content.size")
            contentSize_ = n;
        else if (path_ == ".timings.blocked" || path_ == ".timings.wait" || path_ == ".timings.receive" ||
                 path_ == ".timings.send" || path_ == ".timings.connect" || path_ == ".timings.dns") {
            if (n > 0) timings_ += n;
        } else if (path_ == ".startedDateTime")
            wrong("startedDateTime is no text");
        return value();
    }
    // The path within an entry, or within the file as long as there is none.
    void place() {
        path_.clear();
        const std::size_t from = inEntry_ ? entryDepth_ : 0;
        for (std::size_t i = from; i < keys_.size(); ++i) {
            if (kinds_[i] == '[')
                path_ += "[]";
            else if (!keys_[i].empty())
                (path_ += '.') += keys_[i];
        }
    }
    bool open(char kind) {
        if (kinds_.size() >= kDepthMost) {
            broken_ = true;
            return false;
        }
        place();
        if (!inEntry_ && path_ == ".log.entries" && kind == '[') sawEntries_ = true;
        if (!inEntry_ && path_ == ".log.pages[]" && kind == '{') ++counts_.pages;
        const bool entry = !inEntry_ && path_ == ".log.entries[]";
        kinds_ += kind;
        keys_.emplace_back();
        if (entry) {
            inEntry_ = true;
            entryDepth_ = kinds_.size() - 1;
            clear();
            if (kind != '{') wrong("the entry is no object");
        }
        place();
        return true;
    }
    bool close() {
        if (inEntry_ && kinds_.size() == entryDepth_ + 1) {
            inEntry_ = false;
            entry();
        }
        if (!kinds_.empty()) {
            kinds_.pop_back();
            keys_.pop_back();
        }
        place();
        return true;
    }
    void clear() {
        started_.clear();
        method_.clear();
        url_.clear();
        error_.clear();
        client_.clear();
        wrong_.clear();
        headers_.clear();
        time_ = status_ = bodySize_ = contentSize_ = -1;
        timings_ = 0;
    }
    void wrong(const char* why) {
        if (inEntry_ && wrong_.empty()) wrong_ = why;
    }
    void header() {
        std::transform(headerName_.begin(), headerName_.end(), headerName_.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        // Values of these are secrets, and no rule may look at them.
        const bool secret =
            headerName_ == "cookie" || headerName_ == "authorization" || headerName_ == "proxy-authorization";
        if (!secret && headers_.size() < 64) headers_.emplace_back(headerName_, headerValue_);
        headerName_.clear();
        headerValue_.clear();
    }
    // What has been told goes to the sink when the next entry comes, so that each byte has its place.
    void entry() {
        flush();
        last_ = {file_, told_, state_.taken - told_, ++counts_.entries, 0};
        told_ = state_.taken;
        pendingBad_ = judge();
        pending_ = true;
        keep();
    }
    std::string judge() {
        if (!wrong_.empty()) return wrong_;
        if (started_.empty()) return "there is no startedDateTime";
        const auto stamp = readIsoTime(started_);
        if (!stamp) return "startedDateTime is no time";
        std::string_view host, target;
        if (method_.empty() || url_.empty()) return "there is no request with method and url";
        if (!splitUrl(url_, host, target)) {
            if (url_.starts_with("data:") || url_.starts_with("blob:")) {
                blocked_ = true;
                return {};
            }
            return "the url is no http one";
        }
        if (status_ > 599 || (status_ > 0 && status_ < 100) || status_ != std::floor(status_)) {
            return "the status is out of range";
        }
        if (time_ > kLongestMs || !std::isfinite(time_)) return "time is out of range";
        blocked_ =
            error_.find("BLOCKED") != std::string::npos || error_.find("CACHE_MISS") != std::string::npos;
        record_ = {};
        record_.at = stamp->at;
        record_.grain = stamp->grain;
        const double took = time_ >= 0 ? time_ : timings_ > 0 ? timings_ : -1;
        record_.took = took < 0 ? -1 : std::llround(took * 1000);
        answer();
        return {};
    }
    void answer() {
        auto& a = record_.answer;
        // -1 is what the format says for a size that is not known.
        const double size = bodySize_ >= 0 ? bodySize_ : contentSize_;
        a.bytes = size < 0 || size > 1e15 ? -1 : static_cast<std::int64_t>(size);
        a.status = status_ > 0 ? static_cast<int>(status_) : 0;
        if (a.status > 0) {
            a.ended = attempts::Ended::answered;
            if (error_.find("ABORTED") != std::string::npos) a.ended = attempts::Ended::aborted;
            return;
        }
        const auto says = [&](const char* word) { return error_.find(word) != std::string::npos; };
        a.ended = says("REFUSED") || says("NAME_NOT_RESOLVED") || says("ADDRESS_UNREACHABLE")
                      ? attempts::Ended::neverSent
                  : says("TIMED_OUT")                                         ? attempts::Ended::timedOut
                  : says("ABORTED")                                           ? attempts::Ended::aborted
                  : says("RESET") || says("CLOSED") || says("EMPTY_RESPONSE") ? attempts::Ended::cut
                                                                              : attempts::Ended::notTold;
    }
    // The strings of an entry that waits to be told.
    void keep() {
        kept_ = {method_, url_, client_, headers_};
        std::string_view host, target;
        if (splitUrl(kept_.url, host, target)) {
            record_.host = host;
            record_.target = target;
        }
        record_.method = kept_.method;
        record_.client = kept_.client;
        record_.headers.clear();
        for (const auto& [name, value] : kept_.headers) {
            record_.headers.emplace_back(name, value);
            if (name == "x-request-id") record_.requestId = value;
        }
    }
    void flush() {
        if (!pending_) return;
        pending_ = false;
        if (!pendingBad_.empty())
            sink_.bad(last_, pendingBad_, kept_.url);
        else if (blocked_)
            sink_.leftOut(last_, LeftOut::blocked);
        else
            sink_.entry(last_, record_);
        blocked_ = false;
    }

    struct Kept {
        std::string method, url, client;
        std::vector<std::pair<std::string, std::string>> headers;
    };
    const Characters::State& state_;
    const std::uint32_t file_;
    Sink& sink_;
    HarCounts counts_;
    std::string kinds_;
    std::vector<std::string> keys_;
    std::string path_;
    bool inEntry_ = false, sawEntries_ = false, broken_ = false, blocked_ = false, pending_ = false;
    std::size_t entryDepth_ = 0;
    std::uint64_t told_ = 0;
    Place last_;
    std::string pendingBad_;
    Record record_;
    Kept kept_;
    std::string started_, method_, url_, error_, client_, wrong_, headerName_, headerValue_;
    std::vector<std::pair<std::string, std::string>> headers_;
    double time_ = -1, status_ = -1, bodySize_ = -1, contentSize_ = -1, timings_ = 0;
};

}  // namespace

HarCounts readHar(ByteSource& source, std::uint32_t file, Sink& sink) {
    Characters::State state(source);
    Har har(state, file, sink);
    const bool whole = nlohmann::json::sax_parse(Characters(state), Characters(), &har);
    // What the parser has not looked at is counted too.
    while (!state.ended) state.step();
    return har.finish(whole);
}

}  // namespace marldale::sources
