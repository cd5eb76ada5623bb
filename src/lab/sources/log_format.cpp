#include "sources/log_format.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <map>

namespace marldale::sources {
namespace {

constexpr Micros kSecond = 1000000;
constexpr Micros kLongest = 24 * 3600 * kSecond;  // of a request

template <class T>
bool readWhole(std::string_view text, T& out) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size();
}

// `0.004`, in units of `unit`; false if it is no figure, is negative or longer than a day.
bool readSpan(std::string_view text, Micros unit, Micros& out) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return false;
    value *= static_cast<double>(unit);
    if (!std::isfinite(value) || value < 0 || value > static_cast<double>(kLongest)) return false;
    out = std::llround(value);
    return true;
}

// nginx tells every upstream that was tried, with `, ` and ` : ` between.
unsigned countUpstreams(std::string_view text) {
    unsigned out = 1;
    for (const char c : text) out += c == ',' || c == ':' ? 1 : 0;
    return out;
}

bool isNameChar(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_'; }

}  // namespace

std::vector<std::string> Blind::words() const {
    std::vector<std::string> out;
    if (wholeSeconds) out.emplace_back("stamps have whole seconds: no rate below a second means anything");
    if (endStamp)
        out.emplace_back(noDuration ? "stamps are of the end, and there is no duration to go back by"
                                    : "stamps are of the end, and are moved back by the duration");
    if (noDuration) out.emplace_back("there is no duration: chains are joined by gaps between starts");
    if (noClient) out.emplace_back("there is no client: without request ids no tries are joined");
    if (noHost) out.emplace_back("there is no host");
    if (noRequestId) out.emplace_back("there is no request id: tries are joined by client, class and target");
    return out;
}

std::optional<LogFormat::Field> LogFormat::nginx(std::string_view name) {
    static const std::map<std::string_view, Field> fields = {
        {"remote_addr", Field::client},
        {"realip_remote_addr", Field::skip},
        {"remote_user", Field::user},
        {"time_local", Field::time},
        {"time_iso8601", Field::isoTime},
        {"msec", Field::epoch},
        {"request", Field::request},
        {"request_method", Field::method},
        {"request_uri", Field::uri},
        {"uri", Field::uri},
        {"args", Field::query},
        {"query_string", Field::query},
        {"host", Field::host},
        {"http_host", Field::host},
        {"server_name", Field::skip},
        {"status", Field::status},
        {"body_bytes_sent", Field::bytes},
        {"bytes_sent", Field::skip},
        {"request_time", Field::seconds},
        {"upstream_response_time", Field::upstreamSeconds},
        {"request_id", Field::requestId},
        {"http_x_request_id", Field::requestId}};
    const auto at = fields.find(name);
    return at == fields.end() ? std::optional<Field>(Field::skip) : at->second;
}

std::optional<LogFormat::Field> LogFormat::apache(std::string_view directive, std::string_view argument) {
    if (directive == "t") {
        if (argument.empty()) return Field::time;
        if (argument == "msec" || argument == "begin:msec" || argument == "end:msec")
            return Field::epochMillis;
        if (argument == "sec" || argument == "begin:sec" || argument == "end:sec") return Field::epoch;
        return std::nullopt;
    }
    if (directive == "T") {
        if (argument == "ms") return Field::millis;
        return argument == "us" ? Field::micros : Field::seconds;
    }
    if (directive == "i" || directive == "o") {
        std::string name(argument);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        if (name == "host") return Field::host;
        return name == "x-request-id" ? Field::requestId : Field::skip;
    }
    static const std::map<std::string_view, Field> fields = {
        {"h", Field::client},  {"a", Field::client}, {"l", Field::skip},      {"u", Field::user},
        {"r", Field::request}, {"m", Field::method}, {"U", Field::uri},       {"q", Field::query},
        {"s", Field::status},  {"b", Field::bytes},  {"B", Field::bytes},     {"D", Field::micros},
        {"v", Field::skip},    {"V", Field::host},   {"L", Field::requestId}, {"p", Field::skip},
        {"H", Field::skip},    {"I", Field::skip},   {"O", Field::skip},      {"X", Field::skip},
        {"k", Field::skip},    {"P", Field::skip},   {"A", Field::skip},      {"e", Field::skip},
        {"C", Field::skip},    {"n", Field::skip},   {"f", Field::skip},      {"R", Field::skip},
        {"S", Field::skip}};
    const auto at = fields.find(directive);
    if (at == fields.end()) return std::nullopt;
    return at->second;
}

bool LogFormat::compileNginx(std::string_view format, std::string& wrong) {
    for (std::size_t i = 0; i < format.size(); ++i) {
        if (format[i] != '$') {
            literal(format[i]);
            continue;
        }
        const bool braced = i + 1 < format.size() && format[i + 1] == '{';
        const std::size_t from = i + (braced ? 2 : 1);
        std::size_t end = from;
        while (end < format.size() && isNameChar(format[end])) ++end;
        if (end == from || (braced && (end == format.size() || format[end] != '}'))) {
            wrong = "column " + std::to_string(i + 1) + ": a $ without a name";
            return false;
        }
        add(*nginx(format.substr(from, end - from)));
        i = braced ? end : end - 1;
    }
    return true;
}

bool LogFormat::compileApache(std::string_view format, std::string& wrong) {
    startStamp_ = true;
    for (std::size_t i = 0; i < format.size(); ++i) {
        if (format[i] != '%') {
            if (format[i] != '\\' || i + 1 == format.size()) {
                literal(format[i]);
                continue;
            }
            ++i;  // escaped, as in the server's own file
            literal(format[i] == 't' ? '\t' : format[i]);
            continue;
        }
        const std::size_t begin = i++;
        if (i < format.size() && format[i] == '%') {
            literal('%');
            continue;
        }
        // Conditions on the status and `<` or `>` stand before the letter.
        while (i < format.size() &&
               (std::isdigit(static_cast<unsigned char>(format[i])) != 0 || format[i] == ',' ||
                format[i] == '!' || format[i] == '<' || format[i] == '>')) {
            ++i;
        }
        std::string_view argument;
        if (i < format.size() && format[i] == '{') {
            const auto close = format.find('}', i);
            if (close != std::string_view::npos) {
                argument = format.substr(i + 1, close - i - 1);
                i = close + 1;
            }
        }
        std::size_t length = 1;
        if (i + 1 < format.size() && format[i] == '^') length = 3;
        const auto field = i < format.size()
                               ? apache(format.substr(i, std::min(length, format.size() - i)), argument)
                               : std::nullopt;
        if (!field) {
            wrong = "column " + std::to_string(begin + 1) + ": no directive that is understood";
            return false;
        }
        add(*field);
        i += length - 1;
        // %t writes its own brackets.
        if (*field == Field::time) {
            (parts_.size() == 1 ? prefix_ : parts_[parts_.size() - 2].literal) += '[';
            parts_.back().literal += ']';
        }
    }
    return true;
}

bool LogFormat::finish(std::string& wrong) {
    bool time = false, line = false, method = false, uri = false, duration = false;
    blind_ = {true, true, true, !startStamp_, true, true};
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        Part& part = parts_[i];
        const std::string& before = i == 0 ? prefix_ : parts_[i - 1].literal;
        part.quoted = before.ends_with('"') && part.literal.starts_with('"');
        if (part.literal.empty() && i + 1 < parts_.size()) {
            wrong = "two fields stand side by side with nothing between them to tell them apart";
            return false;
        }
        switch (part.field) {
            case Field::time: time = true; break;
            case Field::isoTime: time = true; break;
            case Field::epoch:
            case Field::epochMillis:
                time = true;
                blind_.wholeSeconds = false;  // if it tells a fraction; each stamp says for itself
                break;
            case Field::request: line = true; break;
            case Field::method: method = true; break;
            case Field::uri: uri = true; break;
            case Field::client: blind_.noClient = false; break;
            case Field::host: blind_.noHost = false; break;
            case Field::requestId: blind_.noRequestId = false; break;
            case Field::seconds:
            case Field::millis:
            case Field::micros: duration = true; break;
            default: break;
        }
    }
    blind_.noDuration = !duration;
    if (!time) wrong = "the format has no time: %t, $time_local, $time_iso8601 or $msec";
    if (!line && !(method && uri)) wrong = "the format has no request: %r or $request, or method and path";
    return wrong.empty();
}

std::optional<LogFormat> LogFormat::compile(std::string_view format, std::string& wrong) {
    wrong.clear();
    if (format == "common") format = kCommon;
    if (format == "combined") format = kCombined;
    LogFormat out;
    const bool read = format.find('$') != std::string_view::npos ? out.compileNginx(format, wrong)
                                                                 : out.compileApache(format, wrong);
    if (!read || !out.finish(wrong)) return std::nullopt;
    return out;
}

// Puts a field into the record; what is wrong with it, or nothing.
std::string_view LogFormat::take(const Part& part, std::string_view field, Record& record) const {
    const bool absent = field == "-";
    switch (part.field) {
        case Field::skip: return {};
        case Field::client: record.client = absent ? std::string_view{} : field; return {};
        case Field::user: record.user = absent ? std::string_view{} : field; return {};
        case Field::host: record.host = absent ? std::string_view{} : field; return {};
        case Field::requestId: record.requestId = absent ? std::string_view{} : field; return {};
        case Field::time:
        case Field::isoTime:
        case Field::epoch: {
            if (part.lastText != field) {
                const auto stamp = part.field == Field::time      ? readClfTime(field, assumedOffset_)
                                   : part.field == Field::isoTime ? readIsoTime(field, assumedOffset_)
                                                                  : readEpoch(field);
                if (!stamp) return "this is no time";
                part.lastText.assign(field);
                part.lastStamp = *stamp;
            }
            // The finest of several stamps counts.
            if (record.grain != 0 && record.grain <= part.lastStamp.grain) return {};
            record.at = part.lastStamp.at;
            record.grain = part.lastStamp.grain;
            return {};
        }
        case Field::epochMillis: {
            std::int64_t millis = 0;
            if (!readWhole(field, millis) || millis < 0 || millis > 99999999999999) return "this is no time";
            record.at = millis * 1000;
            record.grain = 1000;
            return {};
        }
        case Field::request:
            if (absent || field.empty()) return {};  // a connection without a request
            return splitRequestLine(field, record.method, record.target) ? std::string_view{}
                                                                         : "this is no request line";
        case Field::method: record.method = absent ? std::string_view{} : field; return {};
        case Field::uri: record.target = absent ? std::string_view{} : field; return {};
        case Field::query: return {};  // secrets live there, and the path tells the class
        case Field::status: {
            if (absent || field == "000") return {};
            int status = 0;
            if (!readWhole(field, status) || status < 100 || status > 599) return "this is no status";
            record.answer.status = status;
            record.answer.ended = attempts::Ended::answered;
            return {};
        }
        case Field::bytes:
            if (absent) {
                record.answer.bytes = 0;
                return {};
            }
            return readWhole(field, record.answer.bytes) && record.answer.bytes >= 0 ? std::string_view{}
                                                                                     : "this is no size";
        case Field::seconds:
        case Field::millis:
        case Field::micros:
        case Field::secondsOrMicros: {
            if (absent) return {};
            const Micros unit = part.field == Field::millis   ? 1000
                                : part.field == Field::micros ? 1
                                                              : kSecond;
            return readSpan(field, unit, record.took) ? std::string_view{} : "this is no duration";
        }
        case Field::upstreamSeconds:
            if (!absent) record.upstreamTries = countUpstreams(field);
            return {};
    }
    return {};
}

bool LogFormat::read(std::string_view line, Record& record, std::uint32_t& column,
                     std::string_view& why) const {
    record = {};
    record.atEnd = !startStamp_;
    const auto wrongAt = [&](std::size_t at, std::string_view what) {
        column = static_cast<std::uint32_t>(at + 1);
        why = what;
        return false;
    };
    if (!line.starts_with(prefix_)) return wrongAt(0, "the line does not begin as the format does");
    std::size_t at = prefix_.size();
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        const Part& part = parts_[i];
        std::size_t end = line.size();
        if (!part.literal.empty()) {
            end = line.find(part.literal, at);
            // Within quotes a backslash escapes what follows it.
            while (part.quoted && end != std::string_view::npos && end > at && line[end - 1] == '\\') {
                std::size_t slashes = 0;
                while (end - slashes > at && line[end - slashes - 1] == '\\') ++slashes;
                if (slashes % 2 == 0) break;
                end = line.find(part.literal, end + 1);
            }
            if (end == std::string_view::npos)
                return wrongAt(at, "the line ends, or goes on otherwise than the format");
        }
        const std::string_view field = line.substr(at, end - at);
        if (field.empty() && part.field != Field::skip && part.field != Field::request) {
            return wrongAt(at, "a field is empty");
        }
        const std::string_view wrong = take(part, field, record);
        if (!wrong.empty()) return wrongAt(at, wrong);
        at = end + part.literal.size();
    }
    if (at < line.size()) return wrongAt(at, "the line goes on behind the format's end");
    if (record.answer.status == 0) record.answer.ended = attempts::Ended::notRecorded;
    return true;
}

}  // namespace marldale::sources
