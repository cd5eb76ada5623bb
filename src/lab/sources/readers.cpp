#include "sources/readers.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace marldale::sources {
namespace {

using Json = nlohmann::json;

constexpr double kLongest = 24 * 3600 * 1e6;  // of a request, microseconds

class ByFormat : public LineFormat {
public:
    explicit ByFormat(LogFormat format) : format_(std::move(format)) {}
    bool read(std::string_view line, Record& record, std::uint32_t& column, std::string_view& why) override {
        return format_.read(line, record, column, why);
    }
    Blind blind() const override { return format_.blind(); }

private:
    LogFormat format_;
};

class ByJson : public LineFormat {
public:
    ByJson(JsonFields fields, int assumedOffset)
        : fields_(std::move(fields)), assumedOffset_(assumedOffset) {}

    bool read(std::string_view line, Record& record, std::uint32_t& column, std::string_view& why) override {
        record = {};
        record.atEnd = fields_.timeIsEnd;
        column = 0;
        why = {};
        // Not a parser that throws: a bad line is nothing unusual.
        json_ = Json::parse(line, nullptr, false);
        if (json_.is_discarded() || !json_.is_object()) {
            why = "this is no JSON object";
            return false;
        }
        text(fields_.client, record.client);
        text(fields_.user, record.user);
        text(fields_.host, record.host);
        text(fields_.requestId, record.requestId);
        if (!time(record))
            why = "there is no time that can be read";
        else if (!request(record))
            why = "there is no method and path";
        else if (!answer(record))
            why = "the status, size or duration is out of range or no number";
        return why.empty();
    }
    Blind blind() const override {
        Blind out;
        out.endStamp = fields_.timeIsEnd;
        out.noDuration = fields_.duration.empty();
        out.noClient = fields_.client.empty();
        out.noHost = fields_.host.empty();
        out.noRequestId = fields_.requestId.empty();
        return out;
    }

private:
    [[nodiscard]] const Json* find(std::string_view name) const {
        const Json* at = &json_;
        while (!name.empty()) {
            const auto dot = std::min(name.find('.'), name.size());
            if (!at->is_object()) return nullptr;
            const auto member = at->find(std::string(name.substr(0, dot)));
            if (member == at->end()) return nullptr;
            at = &*member;
            name.remove_prefix(std::min(dot + 1, name.size()));
        }
        return at == &json_ || at->is_null() ? nullptr : at;
    }
    void text(const std::string& name, std::string_view& out) const {
        const Json* at = find(name);
        if (at != nullptr && at->is_string() && at->get_ref<const std::string&>() != "-") {
            out = at->get_ref<const std::string&>();
        }
    }
    bool time(Record& record) const {
        const Json* at = find(fields_.time);
        if (at == nullptr) return false;
        std::optional<Stamp> stamp;
        if (at->is_string()) stamp = readAnyTime(at->get_ref<const std::string&>(), assumedOffset_);
        // A number so large is milliseconds.
        if (at->is_number()) {
            const double value = at->get<double>();
            const double unit = value > 1e11 ? 1e3 : 1e6;
            if (value < 0 || value > 1e14) return false;
            stamp = Stamp{std::llround(value * unit),
                          at->is_number_float() ? Micros{1} : Micros(unit == 1e3 ? 1000 : 1000000), false};
        }
        if (!stamp) return false;
        record.at = stamp->at;
        record.grain = stamp->grain;
        return true;
    }
    bool request(Record& record) const {
        std::string_view line;
        text(fields_.request, line);
        if (!line.empty()) return splitRequestLine(line, record.method, record.target);
        text(fields_.method, record.method);
        text(fields_.target, record.target);
        std::string_view host, target;
        if (splitUrl(record.target, host, target)) {
            record.host = host;
            record.target = target;
        }
        return !record.method.empty() && !record.target.empty();
    }
    // A number, or a string that is one. False if it is there and neither.
    static bool number(const Json* at, double& out) {
        if (at == nullptr) return true;
        if (at->is_number()) {
            out = at->get<double>();
            return std::isfinite(out);
        }
        if (!at->is_string()) return false;
        const auto& s = at->get_ref<const std::string&>();
        if (s.empty() || s == "-") return true;
        char* end = nullptr;
        out = std::strtod(s.c_str(), &end);
        return *end == '\0' && std::isfinite(out);
    }
    bool answer(Record& record) const {
        double status = 0, bytes = -1, took = -1;
        if (!number(find(fields_.status), status) || !number(find(fields_.bytes), bytes) ||
            !number(find(fields_.duration), took)) {
            return false;
        }
        if (status != 0 && (status < 100 || status > 599 || status != std::floor(status))) return false;
        if (bytes < -1 || bytes > 1e15 || bytes != std::floor(bytes)) return false;
        if (took >= 0) took *= static_cast<double>(fields_.durationUnit);
        if (took < -1 || took > kLongest) return false;
        record.answer = {status == 0 ? attempts::Ended::notRecorded : attempts::Ended::answered,
                         static_cast<int>(status), static_cast<std::int64_t>(bytes)};
        record.took = took < 0 ? -1 : std::llround(took);
        return true;
    }

    const JsonFields fields_;
    const int assumedOffset_;
    Json json_;
};

}  // namespace

std::unique_ptr<LineFormat> byFormat(LogFormat format) {
    return std::make_unique<ByFormat>(std::move(format));
}
std::unique_ptr<LineFormat> byJson(JsonFields fields, int assumedOffset) {
    return std::make_unique<ByJson>(std::move(fields), assumedOffset);
}

std::size_t LineReader::read(Sink& sink, bool last) {
    std::size_t count = 0;
    Line line;
    Record record;
    while (lines_.next(line, last)) {
        ++count;
        Place place{file_, line.offset, line.bytes, line.number, 0};
        std::string_view text = line.text;
        if (line.number == 1 && text.starts_with("\xef\xbb\xbf")) text.remove_prefix(3);
        if (onLine) onLine(text);
        if (line.tooLong) {
            sink.bad(place, "the line is longer than 64 KiB", text.substr(0, 200));
            continue;
        }
        if (text.empty() || text.front() == '#') {
            sink.leftOut(place, LeftOut::comment);
            continue;
        }
        std::string_view why;
        if (!format_.read(text, record, place.column, why)) {
            sink.bad(place, line.withoutEnd ? "the file ends in the middle of this line" : why, text);
        } else if (record.method.empty()) {
            sink.leftOut(place, LeftOut::noRequest);
        } else {
            sink.entry(place, record);
        }
    }
    return count;
}

bool looksLikeHar(std::string_view first) {
    if (first.starts_with("\xef\xbb\xbf")) first.remove_prefix(3);
    const auto at = first.find_first_not_of(" \t\r\n");
    if (at == std::string_view::npos || first[at] != '{') return false;
    const auto next = first.find_first_not_of(" \t\r\n", at + 1);
    return next != std::string_view::npos && first.substr(next).starts_with("\"log\"");
}

}  // namespace marldale::sources
