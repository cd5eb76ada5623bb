#include "sources/stamp.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace marldale::sources {
namespace {

constexpr Micros kSecond = 1000000;
constexpr std::array<std::string_view, 12> kMonths = {"Jan", "Feb", "Mar", "Apr", "May", "Jun",
                                                      "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"};

// Reads from the front and remembers whether all went well.
class Reader {
public:
    explicit Reader(std::string_view text) : rest_(text) {}
    int digits(std::size_t count) {
        int out = 0;
        if (rest_.size() < count) return fail();
        for (std::size_t i = 0; i < count; ++i) {
            if (rest_[i] < '0' || rest_[i] > '9') return fail();
            out = out * 10 + (rest_[i] - '0');
        }
        rest_.remove_prefix(count);
        return out;
    }
    bool maybe(char c) {
        if (rest_.empty() || rest_.front() != c) return false;
        rest_.remove_prefix(1);
        return true;
    }
    void must(char c) {
        if (!maybe(c)) fail();
    }
    std::string_view letters(std::size_t count) {
        if (rest_.size() < count) {
            fail();
            return {};
        }
        const auto out = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return out;
    }
    // Digits behind a point, as microseconds; `grain` is what they can tell.
    Micros fraction(Micros& grain) {
        Micros out = 0, unit = kSecond;
        std::size_t seen = 0;
        while (!rest_.empty() && rest_.front() >= '0' && rest_.front() <= '9') {
            if (unit > 1) {
                unit /= 10;
                out += unit * (rest_.front() - '0');
            }
            rest_.remove_prefix(1);
            if (++seen > 12) break;
        }
        if (seen == 0) fail();
        grain = unit;
        return out;
    }
    [[nodiscard]] bool done() const { return good_ && rest_.empty(); }
    [[nodiscard]] bool empty() const { return rest_.empty(); }
    int fail() {
        good_ = false;
        rest_ = {};
        return 0;
    }

private:
    std::string_view rest_;
    bool good_ = true;
};

struct Parts {
    int year = 0, month = 0, day = 0, hour = 0, minute = 0, second = 0;
    int offset = 0;  // minutes east of UTC
    Micros fraction = 0, grain = kSecond;
};

int daysOf(int year, int month) {
    constexpr std::array<int, 12> days = {31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};
    const bool leap = (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
    return days[static_cast<std::size_t>(month - 1)] + (month == 2 && leap ? 1 : 0);
}

// Days since 1970 of a date of the Gregorian calendar; eras of 400 years, years beginning in March.
std::int64_t daysSince1970(int year, int month, int day) {
    const std::int64_t y = year - (month <= 2 ? 1 : 0);
    const std::int64_t era = y / 400, ofEra = y - era * 400;
    const std::int64_t ofYear = (153 * (month + (month > 2 ? -3 : 9)) + 2) / 5 + day - 1;
    return era * 146097 + ofEra * 365 + ofEra / 4 - ofEra / 100 + ofYear - 719468;
}

std::optional<Stamp> stampOf(const Parts& p) {
    if (p.year < 1970 || p.month < 1 || p.month > 12 || p.day < 1 || p.day > daysOf(p.year, p.month))
        return {};
    if (p.hour > 23 || p.minute > 59 || p.second > 60) return {};
    if (p.offset < -24 * 60 || p.offset > 24 * 60) return {};
    const std::int64_t seconds =
        daysSince1970(p.year, p.month, p.day) * 86400 + p.hour * 3600 + (p.minute - p.offset) * 60 + p.second;
    Stamp out{seconds * kSecond + p.fraction, p.grain, p.second == 60};
    if (out.leapSecond) out.at = seconds * kSecond;
    return out;
}

// `+0200`, `+02:00`, `Z`, or nothing.
int readOffset(Reader& in, int assumed) {
    if (in.empty()) return assumed;
    if (in.maybe('Z') || in.maybe('z')) return 0;
    const bool west = in.maybe('-');
    if (!west) in.must('+');
    const int hours = in.digits(2);
    if (!in.empty()) (void)in.maybe(':');
    const int minutes = in.empty() ? 0 : in.digits(2);
    if (minutes > 59) in.fail();
    return (west ? -1 : 1) * (hours * 60 + minutes);
}

}  // namespace

std::optional<Stamp> readClfTime(std::string_view text, int assumed) {
    Reader in(text);
    Parts p;
    p.day = in.digits(2);
    in.must('/');
    const auto month = std::find(kMonths.begin(), kMonths.end(), in.letters(3));
    if (month == kMonths.end()) return std::nullopt;
    p.month = static_cast<int>(month - kMonths.begin()) + 1;
    in.must('/');
    p.year = in.digits(4);
    in.must(':');
    p.hour = in.digits(2);
    in.must(':');
    p.minute = in.digits(2);
    in.must(':');
    p.second = in.digits(2);
    (void)in.maybe(' ');
    p.offset = readOffset(in, assumed);
    if (!in.done()) return std::nullopt;
    return stampOf(p);
}

std::optional<Stamp> readIsoTime(std::string_view text, int assumed) {
    Reader in(text);
    Parts p;
    p.year = in.digits(4);
    in.must('-');
    p.month = in.digits(2);
    in.must('-');
    p.day = in.digits(2);
    if (!in.maybe('T') && !in.maybe('t')) in.must(' ');
    p.hour = in.digits(2);
    in.must(':');
    p.minute = in.digits(2);
    in.must(':');
    p.second = in.digits(2);
    if (in.maybe('.') || in.maybe(',')) p.fraction = in.fraction(p.grain);
    p.offset = readOffset(in, assumed);
    if (!in.done()) return std::nullopt;
    return stampOf(p);
}

std::optional<Stamp> readEpoch(std::string_view text) {
    const auto point = std::min(text.find('.'), text.size());
    if (point == 0 || point > 11) return std::nullopt;
    Reader whole(text.substr(0, point));
    std::int64_t seconds = 0;
    for (std::size_t i = 0; i < point; ++i) seconds = seconds * 10 + whole.digits(1);
    if (!whole.done()) return std::nullopt;
    Stamp out{seconds * kSecond, kSecond, false};
    if (point < text.size()) {
        Reader rest(text.substr(point + 1));
        out.at += rest.fraction(out.grain);
        if (!rest.done()) return std::nullopt;
    }
    return out;
}

std::optional<Stamp> readAnyTime(std::string_view text, int assumed) {
    if (auto out = readIsoTime(text, assumed)) return out;
    if (auto out = readClfTime(text, assumed)) return out;
    return readEpoch(text);
}

std::string_view shown(Micros at, char (&into)[40]) {
    const Micros within = ((at % kSecond) + kSecond) % kSecond;
    const auto seconds = static_cast<std::time_t>((at - within) / kSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    const int size = std::snprintf(into, sizeof into, "%04d-%02d-%02dT%02d:%02d:%02d.%06dZ",
                                   parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday, parts.tm_hour,
                                   parts.tm_min, parts.tm_sec, static_cast<int>(within));
    return {into, static_cast<std::size_t>(std::max(size, 0))};
}

}  // namespace marldale::sources
