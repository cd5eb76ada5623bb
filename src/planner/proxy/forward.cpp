#include "proxy/forward.h"

#include <algorithm>

namespace marldale::proxy {
namespace {

const char* reasonOf(int status) {
    switch (status) {
        case 400: return "Bad Request";
        case 408: return "Request Timeout";
        case 413: return "Content Too Large";
        case 417: return "Expectation Failed";
        case 431: return "Request Header Fields Too Large";
        case 501: return "Not Implemented";
        case 502: return "Bad Gateway";
        case 503: return "Service Unavailable";
        case 504: return "Gateway Timeout";
        case 505: return "HTTP Version Not Supported";
        default: return "Error";
    }
}

void add(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

// Framing is the proxy's own: whatever the other side said of it ends here.
void addFields(std::string& out, const Fields& fields, const BodyFrame& frame) {
    for (const Field& f : withoutHopByHop(fields)) {
        if (!sameName(f.name, "content-length") && !sameName(f.name, "marldale-time-left-ms"))
            add(out, f.name, f.value);
    }
    if (frame.framing == Framing::length) add(out, "Content-Length", std::to_string(frame.length));
    if (frame.framing == Framing::chunked) add(out, "Transfer-Encoding", "chunked");
}

}  // namespace

std::string upgradeOf(const RequestHead& head, const std::string& allowed) {
    const std::string* asked = valueOf(head.fields, "upgrade");
    const bool can = head.minor == 1 && head.body.framing == Framing::none && !allowed.empty();
    // One protocol, named in Connection too (RFC 9110, 7.8).
    return can && asked != nullptr && sameName(*asked, allowed) && namesConnection(head.fields, "upgrade")
               ? allowed
               : "";
}

std::string switching(const ResponseHead& head, const std::string& upgrade) {
    std::string out = "HTTP/1.1 101 Switching Protocols\r\n";
    addFields(out, head.fields, {});
    add(out, "Upgrade", upgrade);
    add(out, "Connection", "Upgrade");
    return out + "\r\n";
}

std::string toBox(const RequestHead& head, Micros timeLeft, const std::string& upgrade) {
    std::string out = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    addFields(out, head.fields, head.body);
    if (head.minor == 0 && valueOf(head.fields, "host") == nullptr) add(out, "Host", "");
    const bool saysNone =
        head.body.framing == Framing::none && valueOf(head.fields, "content-length") != nullptr;
    if (saysNone) add(out, "Content-Length", "0");
    add(out, "Via", head.minor == 1 ? "1.1 marldale" : "1.0 marldale");
    add(out, "Marldale-Time-Left-Ms", std::to_string(std::max<Micros>(0, timeLeft / 1000)));
    if (!upgrade.empty()) {
        add(out, "Upgrade", upgrade);
        add(out, "Connection", "Upgrade");
    }
    return out + "\r\n";
}

BodyFrame toClientFrame(const ResponseHead& head, int clientMinor) {
    const bool open = head.body.framing == Framing::chunked || head.body.framing == Framing::untilClose;
    if (!open) return head.body;
    return {clientMinor == 1 ? Framing::chunked : Framing::untilClose, 0};
}

std::string toClient(const ResponseHead& head, const BodyFrame& frame, bool keepAlive) {
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ' + head.reason + "\r\n";
    addFields(out, head.fields, frame);
    if (frame.framing == Framing::none) {
        // To HEAD and 304 the length is that of what is not sent; else nothing is sent, and said so.
        const std::string* length = valueOf(head.fields, "content-length");
        const bool bodiless = head.status < 200 || head.status == 204;
        if (length != nullptr && !bodiless) add(out, "Content-Length", *length);
    }
    add(out, "Via", head.minor == 1 ? "1.1 marldale" : "1.0 marldale");
    add(out, "Connection", keepAlive ? "keep-alive" : "close");
    return out + "\r\n";
}

std::string ownAnswer(int status, std::string_view why, unsigned retryAfterS, bool keepAlive, bool headOnly) {
    const std::string body = std::string(why) + "\n";
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + reasonOf(status) + "\r\n";
    add(out, "Content-Type", "text/plain");
    add(out, "Content-Length", std::to_string(body.size()));
    if (retryAfterS > 0) add(out, "Retry-After", std::to_string(retryAfterS));
    add(out, "Connection", keepAlive ? "keep-alive" : "close");
    out += "\r\n";
    return headOnly ? out : out + body;
}

}  // namespace marldale::proxy
