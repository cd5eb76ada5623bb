#include "standin/surge_log.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <pcg_random.hpp>

namespace marldale::standin {
namespace {

constexpr std::int64_t kBegin = 1791662400;  // 2026-10-10T20:00:00Z
constexpr std::int64_t kSecond = 1000000;

double uniform(pcg32& random) { return (random() + 0.5) / 4294967296.0; }
double exponential(pcg32& random) { return -std::log(uniform(random)); }

struct Kind {
    const char* name;
    const char* method;
    const char* path;
    double share, meanS;
    int paths;
};
constexpr std::array<Kind, 3> kKinds = {{{"image-fetch", "GET", "/image/", 0.6, 0.11, 5000},
                                         {"cutout", "GET", "/cutout/", 0.25, 0.19, 3000},
                                         {"reserve", "POST", "/reserve/", 0.15, 0.11, 400}}};

std::string clf(std::int64_t us) {
    const std::time_t seconds = us / kSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char out[40];
    std::strftime(out, sizeof out, "%d/%b/%Y:%H:%M:%S +0000", &parts);
    return out;
}

struct Outcome {
    int status;
    int bytes;
    bool again;
};

}  // namespace

SurgeLog surge(const SurgeSettings& settings) {
    SurgeLog out;
    out.format =
        "$remote_addr - $remote_user [$time_local] \"$request\" $status $body_bytes_sent $msec $request_time";
    if (settings.requestIds) out.format += " $request_id";
    pcg32 random(settings.seed, 1);
    std::uint64_t wish = 0;
    double at = 0;
    const double length = settings.seconds;
    const auto write = [&](std::int64_t start, double took, const Kind& kind, int path, int client,
                           const Outcome& o, std::uint64_t number) {
        const std::int64_t end = start + std::llround(took * 1e6);
        char text[400];
        const int size = std::snprintf(
            text, sizeof text, "10.%d.%d.%d - - [%s] \"%s %s%d HTTP/1.1\" %d %d %lld.%03lld %.3f",
            client / 65536, client / 256 % 256, client % 256, clf(end).c_str(), kind.method, kind.path, path,
            o.status, o.bytes, static_cast<long long>(end / kSecond),
            static_cast<long long>(end / 1000 % 1000), took);
        LogLine line{std::string(text, static_cast<std::size_t>(size)), wish, static_cast<unsigned>(number),
                     start, kind.name};
        if (settings.requestIds) {
            std::snprintf(text, sizeof text, " %016llx",
                          static_cast<unsigned long long>(wish * 0x9e3779b97f4a7c15ULL));
            line.text += text;
        }
        out.lines.push_back(std::move(line));
    };
    while (at < length) {
        // A surge in the middle: three times the usual rate at its top.
        const double shape = 1 + 2 * std::exp(-std::pow((at - length / 2) / (length / 8), 2));
        at += exponential(random) / (settings.ratePerS * shape);
        const double which = uniform(random);
        const Kind& kind = which < 0.6 ? kKinds[0] : which < 0.85 ? kKinds[1] : kKinds[2];
        const int client = static_cast<int>(random(static_cast<std::uint32_t>(settings.clients)));
        int path = static_cast<int>(random(static_cast<std::uint32_t>(kind.paths)));
        ++wish;
        if (settings.wishInPath && which >= 0.85) path = static_cast<int>(wish);
        double start = at;
        for (unsigned number = 0; number < 4; ++number) {
            double took = kind.meanS * (0.4 + 0.6 * exponential(random));
            Outcome o{200, 100 + static_cast<int>(random(50000)), false};
            const double luck = uniform(random);
            const bool books = std::string(kind.name) == "reserve";
            if (books && luck < settings.unknownShare) {
                o = {luck < settings.unknownShare / 2 ? 504 : 499, 0, uniform(random) < 0.3};
                took = 2;
            } else if (luck > 1 - settings.failShare) {
                o = {books ? 429 : 503, 20, uniform(random) < 0.85};
            }
            write((kBegin * kSecond) + std::llround(start * 1e6), took, kind, path, client, o, number);
            if (!o.again) break;
            start += took + 0.3 + exponential(random) * 0.7;
        }
    }
    // As a server writes them: at their end.
    std::stable_sort(out.lines.begin(), out.lines.end(), [](const LogLine& a, const LogLine& b) {
        const auto end = [](const LogLine& l) {
            const auto from = l.text.find("] \"");
            const auto quote = l.text.find('"', from + 3);
            double status = 0, bytes = 0, msec = 0;
            std::sscanf(l.text.c_str() + quote + 1, "%lf %lf %lf", &status, &bytes, &msec);
            return msec;
        };
        return end(a) < end(b);
    });
    return out;
}

std::string surgeRules(const SurgeLog& log) {
    return "[log]\nformat = " + log.format +
           "\n[class image-fetch]\npath = /image/*\nretry_gap_ms = 8000\n"
           "[class cutout]\npath = /cutout/*\nretry_gap_ms = 8000\n"
           "[class reserve]\nmethod = POST\npath = /reserve/*\neffect = once\nretry_gap_ms = 8000\n";
}

namespace {

std::string replaced(std::string line, const std::string& what, const std::string& by) {
    const auto at = line.find(what);
    if (at != std::string::npos) line.replace(at, what.size(), by);
    return line;
}
// What stands between two marks.
std::string between(const std::string& line, char open, char close) {
    const auto from = line.find(open), to = line.find(close, from + 1);
    return line.substr(from + 1, to - from - 1);
}
// With a field behind the request (from 0) replaced.
std::string withField(const std::string& line, int number, const std::string& by) {
    std::size_t at = line.find("\" ") + 2;
    for (; number > 0; --number) at = line.find(' ', at) + 1;
    return line.substr(0, at) + by + line.substr(std::min(line.find(' ', at), line.size()));
}

using Spoil = std::string (*)(const std::string&);
const std::array<Spoil, 50> kSpoils = {
    [](const std::string& l) { return l.substr(0, 1); },
    [](const std::string& l) { return l.substr(0, 10); },
    [](const std::string& l) { return l.substr(0, l.find('[')); },
    [](const std::string& l) { return l.substr(0, l.find('[') + 8); },
    [](const std::string& l) { return l.substr(0, l.find(']')); },
    [](const std::string& l) { return l.substr(0, l.find('"') + 1); },
    [](const std::string& l) { return l.substr(0, l.find('"') + 6); },
    [](const std::string& l) { return l.substr(0, l.rfind('"')); },
    [](const std::string& l) { return l.substr(0, l.rfind('"') + 1); },
    [](const std::string& l) { return l.substr(0, l.find("\" ") + 5); },
    [](const std::string& l) { return withField(l, 0, "2x0"); },
    [](const std::string& l) { return withField(l, 0, "99"); },
    [](const std::string& l) { return withField(l, 0, "600"); },
    [](const std::string& l) { return withField(l, 0, "-200"); },
    [](const std::string& l) { return withField(l, 0, "20000000000000"); },
    [](const std::string& l) { return withField(l, 0, "2e2"); },
    [](const std::string& l) { return withField(l, 1, "-5"); },
    [](const std::string& l) { return withField(l, 1, "many"); },
    [](const std::string& l) { return withField(l, 1, "99999999999999999999999"); },
    [](const std::string& l) { return withField(l, 1, "1.5"); },
    [](const std::string& l) { return withField(l, 2, "soon"); },
    [](const std::string& l) { return withField(l, 2, "17916.x"); },
    [](const std::string& l) { return withField(l, 2, "179166240000000.000"); },
    [](const std::string& l) { return withField(l, 2, "."); },
    [](const std::string& l) { return withField(l, 3, "-0.1"); },
    [](const std::string& l) { return withField(l, 3, "nan"); },
    [](const std::string& l) { return withField(l, 3, "inf"); },
    [](const std::string& l) { return withField(l, 3, "1e99"); },
    [](const std::string& l) { return withField(l, 3, "0,11"); },
    [](const std::string& l) { return withField(l, 3, "\xff\xfe"); },
    [](const std::string& l) { return replaced(l, between(l, '[', ']'), "10/Oct/2026:25:00:00 +0000"); },
    [](const std::string& l) { return replaced(l, between(l, '[', ']'), "40/Oct/2026:20:00:00 +0000"); },
    [](const std::string& l) { return replaced(l, between(l, '[', ']'), "10/Foo/2026:20:00:00 +0000"); },
    [](const std::string& l) { return replaced(l, between(l, '[', ']'), "10/Oct/2026:20:61:00 +0000"); },
    [](const std::string& l) { return replaced(l, between(l, '[', ']'), "10/Oct/2026:20:00:00 +00x0"); },
    [](const std::string& l) { return replaced(l, between(l, '[', ']'), "10/Oct/26:20:00:00 +0000"); },
    [](const std::string& l) { return replaced(l, between(l, '[', ']'), "never"); },
    [](const std::string& l) { return replaced(l, between(l, '[', ']'), "29/Feb/2026:20:00:00 +0000"); },
    [](const std::string& l) { return replaced(l, between(l, '"', '"'), "GET"); },
    [](const std::string& l) { return replaced(l, between(l, '"', '"'), "GET /a b c HTTP/1.1"); },
    [](const std::string& l) { return replaced(l, between(l, '"', '"'), "get /a HTTP/1.1"); },
    [](const std::string& l) { return replaced(l, between(l, '"', '"'), "\\x16\\x03\\x01\\x02"); },
    [](const std::string& l) { return replaced(l, between(l, '"', '"'), "GET  HTTP/1.1"); },
    [](const std::string& l) { return replaced(l, between(l, '"', '"'), "GET /a FTP/1.1"); },
    [](const std::string& l) { return replaced(l, "[", ""); },
    [](const std::string& l) { return replaced(l, "]", ""); },
    [](const std::string& l) { return l + " and more"; },
    [](const std::string& l) { return std::string(70000, 'x') + l; },
    [](const std::string& l) { return std::string(l.rbegin(), l.rend()); },
    [](const std::string& l) { return "\x01\x02\x03" + l.substr(l.size() / 2); },
};

}  // namespace

std::size_t faultKinds() { return kSpoils.size(); }
std::string spoilt(const std::string& line, std::size_t kind) { return kSpoils[kind % kSpoils.size()](line); }

}  // namespace marldale::standin
