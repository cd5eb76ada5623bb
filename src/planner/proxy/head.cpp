#include "proxy/head.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace marldale::proxy {
namespace {

constexpr std::size_t kLengthDigits = 18;  // of a Content-Length; no overflow

bool isToken(char c) {
    static constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kOthers.find(c) != std::string_view::npos;
}
bool allToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), isToken);
}
bool isText(char c) {
    const auto u = static_cast<unsigned char>(c);
    return u == '\t' || (u >= 0x20 && u != 0x7f);
}
char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view trimmed(std::string_view text) {
    const auto blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && blank(text.front())) text.remove_prefix(1);
    while (!text.empty() && blank(text.back())) text.remove_suffix(1);
    return text;
}

// The items of a list with commas between, blanks aside.
template <class Each>
void eachItem(std::string_view list, const Each& each) {
    while (true) {
        const std::size_t comma = list.find(',');
        const std::string_view item = trimmed(list.substr(0, comma));
        if (!item.empty()) each(item);
        if (comma == std::string_view::npos) return;
        list.remove_prefix(comma + 1);
    }
}

// Lines end with CRLF, and neither character stands elsewhere.
std::optional<Refusal> readLines(std::string_view head, const HeadLimits& limits, std::string_view& first,
                                 Fields& fields) {
    bool isFirst = true;
    while (!head.empty()) {
        const std::size_t end = head.find_first_of("\r\n");
        if (end == std::string_view::npos || head[end] != '\r' || end + 1 >= head.size() ||
            head[end + 1] != '\n')
            return Refusal{400, "a line does not end with CRLF"};
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end + 2);
        if (isFirst) {
            first = line;
            isFirst = false;
            continue;
        }
        if (line.empty())
            return head.empty() ? std::nullopt : std::optional(Refusal{400, "bytes after the head"});
        if (line.front() == ' ' || line.front() == '\t') return Refusal{400, "a folded field"};
        auto field = readField(line);
        if (!field) return Refusal{400, "a field that is none"};
        if (fields.size() >= limits.fields) return Refusal{431, "too many fields"};
        fields.push_back(std::move(*field));
    }
    return Refusal{400, "the head is cut"};
}

struct Framed {
    bool chunked = false, hasLength = false, close = false, keepAlive = false;
    std::uint64_t length = 0;
};

std::optional<Refusal> readLength(std::string_view text, Framed& out) {
    if (out.hasLength) return Refusal{400, "more than one Content-Length"};
    const bool digits = !text.empty() && text.size() <= kLengthDigits &&
                        std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!digits) return Refusal{400, "a Content-Length that is none"};
    std::from_chars(text.data(), text.data() + text.size(), out.length);
    out.hasLength = true;
    return std::nullopt;
}

std::optional<Refusal> readConnection(std::string_view list, Framed& out) {
    static constexpr std::array<std::string_view, 4> kNever = {"content-length", "transfer-encoding", "host",
                                                               "expect"};
    std::optional<Refusal> wrong;
    eachItem(list, [&](std::string_view item) {
        if (sameName(item, "close")) out.close = true;
        if (sameName(item, "keep-alive")) out.keepAlive = true;
        if (!allToken(item)) wrong = Refusal{400, "a Connection option that is none"};
        for (const std::string_view name : kNever) {
            if (sameName(item, name))
                wrong = Refusal{400, "Connection names a field that frames the message"};
        }
    });
    return wrong;
}

std::optional<Refusal> readFraming(const Fields& fields, int minor, Framed& out) {
    for (const Field& f : fields) {
        std::optional<Refusal> wrong;
        if (sameName(f.name, "content-length")) {
            wrong = readLength(f.value, out);
        } else if (sameName(f.name, "transfer-encoding")) {
            if (out.chunked) return Refusal{400, "more than one Transfer-Encoding"};
            if (!sameName(f.value, "chunked")) return Refusal{501, "a Transfer-Encoding other than chunked"};
            out.chunked = true;
        } else if (sameName(f.name, "connection")) {
            wrong = readConnection(f.value, out);
        }
        if (wrong) return wrong;
    }
    if (out.chunked && out.hasLength) return Refusal{400, "both Content-Length and Transfer-Encoding"};
    if (out.chunked && minor == 0) return Refusal{400, "Transfer-Encoding in HTTP/1.0"};
    return std::nullopt;
}

std::optional<Refusal> readVersion(std::string_view text, int& minor) {
    if (text == "HTTP/1.1") {
        minor = 1;
    } else if (text == "HTTP/1.0") {
        minor = 0;
    } else {
        return Refusal{text.starts_with("HTTP/") ? 505 : 400, "a version other than 1.0 and 1.1"};
    }
    return std::nullopt;
}

// The absolute form says the host in the target; behind the proxy the origin form says the same.
std::optional<Refusal> toOriginForm(RequestHead& out) {
    if (out.target.front() == '/' || (out.target == "*" && out.method == "OPTIONS")) return std::nullopt;
    static constexpr std::string_view kScheme = "http://";
    if (!sameName(std::string_view(out.target).substr(0, kScheme.size()), kScheme))
        return Refusal{400, "a target that is none"};
    const std::size_t path = out.target.find_first_of("/?#", kScheme.size());
    const std::string host =
        out.target.substr(kScheme.size(), path == std::string::npos ? path : path - kScheme.size());
    if (host.empty() || host.find('@') != std::string::npos) return Refusal{400, "a target without a host"};
    for (Field& f : out.fields) {
        if (sameName(f.name, "host")) f.value = host;
    }
    out.target = path == std::string::npos ? "/" : out.target.substr(path);
    if (out.target.front() != '/') out.target.insert(0, "/");
    return std::nullopt;
}

std::optional<Refusal> readRequestLine(std::string_view line, RequestHead& out) {
    const std::size_t one = line.find(' '), two = line.rfind(' ');
    if (one == std::string_view::npos || one == two) return Refusal{400, "a request line that is none"};
    const std::string_view target = line.substr(one + 1, two - one - 1);
    out.method = line.substr(0, one);
    if (!allToken(out.method)) return Refusal{400, "a method that is none"};
    const bool visible = !target.empty() && std::all_of(target.begin(), target.end(),
                                                        [](char c) { return c > 0x20 && c < 0x7f; });
    if (!visible) return Refusal{400, "a target that is none"};
    out.target = target;
    if (const auto wrong = readVersion(line.substr(two + 1), out.minor)) return wrong;
    if (out.method == "CONNECT") return Refusal{501, "no tunnels"};
    return std::nullopt;
}

}  // namespace

bool sameName(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

const std::string* valueOf(const Fields& fields, std::string_view name) {
    for (const Field& f : fields) {
        if (sameName(f.name, name)) return &f.value;
    }
    return nullptr;
}

std::optional<Field> readField(std::string_view line) {
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !allToken(line.substr(0, colon))) return std::nullopt;
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), isText)) return std::nullopt;
    return Field{std::string(line.substr(0, colon)), std::string(value)};
}

std::optional<Refusal> findHead(std::string_view bytes, const HeadLimits& limits, std::size_t& length) {
    const std::size_t end = bytes.substr(0, limits.bytes).find("\r\n\r\n");
    length = end == std::string_view::npos ? 0 : end + 4;
    if (length == 0 && bytes.size() >= limits.bytes) return Refusal{431, "the head is too long"};
    // Whoever ends lines otherwise would wait for ever.
    if (length == 0 && bytes.find("\n\n") != std::string_view::npos)
        return Refusal{400, "a line does not end with CRLF"};
    return std::nullopt;
}

std::optional<Refusal> readRequest(std::string_view head, const HeadLimits& limits, RequestHead& out) {
    out = {};
    std::string_view line;
    if (const auto wrong = readLines(head, limits, line, out.fields)) return wrong;
    if (const auto wrong = readRequestLine(line, out)) return wrong;
    Framed framed;
    if (const auto wrong = readFraming(out.fields, out.minor, framed)) return wrong;
    const auto hosts = std::count_if(out.fields.begin(), out.fields.end(),
                                     [](const Field& f) { return sameName(f.name, "host"); });
    if (hosts > 1 || (hosts == 0 && out.minor == 1)) return Refusal{400, "not one Host"};
    if (const auto wrong = toOriginForm(out)) return wrong;
    if (const std::string* expect = valueOf(out.fields, "expect")) {
        if (!sameName(*expect, "100-continue")) return Refusal{417, "an expectation that is not met"};
        out.expectsContinue = out.minor == 1;
    }
    if (framed.chunked) out.body = {Framing::chunked, 0};
    if (framed.hasLength && framed.length > 0) out.body = {Framing::length, framed.length};
    out.keepAlive = !framed.close && (out.minor == 1 || framed.keepAlive);
    return std::nullopt;
}

std::optional<Refusal> readResponse(std::string_view head, const HeadLimits& limits, std::string_view method,
                                    ResponseHead& out) {
    out = {};
    std::string_view line;
    if (const auto wrong = readLines(head, limits, line, out.fields)) return wrong;
    if (line.size() < 12 || line[8] != ' ') return Refusal{502, "a status line that is none"};
    if (const auto wrong = readVersion(line.substr(0, 8), out.minor)) return wrong;
    const auto [end, error] = std::from_chars(line.data() + 9, line.data() + 12, out.status);
    const bool number =
        error == std::errc() && end == line.data() + 12 && out.status >= 100 && out.status <= 599;
    if (!number || (line.size() > 12 && line[12] != ' ')) return Refusal{502, "a status that is none"};
    out.reason = line.size() > 13 ? line.substr(13) : std::string_view();
    if (!std::all_of(out.reason.begin(), out.reason.end(), isText))
        return Refusal{502, "a reason that is none"};
    Framed framed;
    if (const auto wrong = readFraming(out.fields, out.minor, framed)) return wrong;
    out.keepAlive = !framed.close && (out.minor == 1 || framed.keepAlive);
    if (out.status < 200 || out.status == 204 || out.status == 304 || method == "HEAD") return std::nullopt;
    out.body = {Framing::untilClose, 0};
    if (framed.chunked) out.body = {Framing::chunked, 0};
    if (framed.hasLength) out.body = {framed.length > 0 ? Framing::length : Framing::none, framed.length};
    if (out.body.framing == Framing::untilClose) out.keepAlive = false;
    return std::nullopt;
}

bool namesConnection(const Fields& fields, std::string_view option) {
    bool named = false;
    for (const Field& f : fields) {
        if (sameName(f.name, "connection"))
            eachItem(f.value, [&](std::string_view item) { named = named || sameName(item, option); });
    }
    return named;
}

Fields withoutHopByHop(const Fields& fields) {
    static constexpr std::array<std::string_view, 9> kHop = {
        "connection", "keep-alive", "proxy-connection",   "te",    "transfer-encoding",
        "upgrade",    "trailer",    "proxy-authenticate", "expect"};
    std::vector<std::string_view> named(kHop.begin(), kHop.end());
    for (const Field& f : fields) {
        if (sameName(f.name, "connection"))
            eachItem(f.value, [&](std::string_view item) { named.push_back(item); });
    }
    Fields out;
    for (const Field& f : fields) {
        const bool hop = std::any_of(named.begin(), named.end(),
                                     [&](std::string_view name) { return sameName(name, f.name); });
        if (!hop) out.push_back(f);
    }
    return out;
}

}  // namespace marldale::proxy
