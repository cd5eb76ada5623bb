#include "protocol/relay.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace marldale::protocol {
namespace {

constexpr double kRateMost = 1e9;      // requests a second of one proxy
constexpr double kTookMostMs = 3.6e6;  // an answer later than an hour is none
constexpr std::size_t kWordsMost = 8;  // no line has more that mean anything

std::vector<std::string_view> words(std::string_view line) {
    std::vector<std::string_view> out;
    while (out.size() < kWordsMost) {
        const auto from = line.find_first_not_of(' ');
        if (from == std::string_view::npos) break;
        line.remove_prefix(from);
        const auto end = std::min(line.find(' '), line.size());
        out.push_back(line.substr(0, end));
        line.remove_prefix(end);
    }
    return out;
}

template <class Number>
std::optional<Number> toNumber(std::string_view word, Number most) {
    Number out{};
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), out);
    if (error != std::errc{} || end != word.data() + word.size()) return std::nullopt;
    if (!(out >= 0) || out > most) return std::nullopt;  // NaN fails the first
    return out;
}

std::optional<std::uint16_t> proxyOf(std::string_view word) {
    return toNumber<std::uint16_t>(word, std::numeric_limits<std::uint16_t>::max());
}

std::optional<News> hello(const std::vector<std::string_view>& w) {
    if (w.size() < 6) return std::nullopt;
    const auto proxy = proxyOf(w[2]);
    const auto rate = toNumber<double>(w[4], kRateMost);
    const bool fresh = w[5] == "1" || w[5] == "true";
    if (!proxy || !rate || (!fresh && w[5] != "0" && w[5] != "false")) return std::nullopt;
    return Hello{*proxy, std::string(w[3]), *rate, fresh};
}

std::optional<News> ack(const std::vector<std::string_view>& w) {
    if (w.size() < 5) return std::nullopt;
    const auto proxy = proxyOf(w[2]);
    const auto mark = toNumber<std::uint64_t>(w[3], std::numeric_limits<std::uint64_t>::max());
    const auto took = toNumber<double>(w[4], kTookMostMs);
    if (!proxy || !mark || !took) return std::nullopt;
    return Ack{*proxy, *mark, std::llround(*took * 1000)};
}

}  // namespace

std::size_t ordersThatFit(const std::vector<std::string>& orders, std::size_t first) {
    std::size_t bytes = 0, count = 0;
    while (first + count < orders.size()) {
        bytes += orders[first + count].size() + (count > 0 ? 1 : 0);
        if (count > 0 && bytes > kOrdersMost) break;
        ++count;
    }
    return count;
}

std::string applyLine(const std::vector<std::string>& orders, std::size_t first, std::size_t count) {
    std::string out = "APPLY ";
    for (std::size_t i = 0; i < count; ++i) {
        if (i > 0) out += ';';
        out += orders[first + i];
    }
    return out += "\r\n";
}

std::string watchLine() { return "WATCH\r\n"; }

Answer parseAnswer(std::string_view line, std::size_t count) {
    const auto w = words(line);
    if (w.size() == 2 && w[0] == "OK") {
        const auto taken = toNumber<std::size_t>(w[1], count);
        if (taken) return Taken{*taken};
        return Unreadable{};
    }
    const auto says = [&](std::string_view error) {
        return std::any_of(w.begin(), w.end(), [&](std::string_view word) {
            while (word.starts_with('-')) word.remove_prefix(1);
            return word == error;
        });
    };
    if (says("BUSY")) return Busy{};
    if (says("SYNTAX")) return Syntax{};
    return Unreadable{};
}

std::optional<News> parseNews(std::string_view line) {
    const auto w = words(line);
    if (w.empty() || w[0] != "*") return std::nullopt;
    if (w.size() == 1) return SignOfLife{};
    if (w[1] == "hello") return hello(w);
    if (w[1] == "ack") return ack(w);
    if (w[1] == "bye" && w.size() >= 3) {
        if (const auto proxy = proxyOf(w[2])) return Bye{*proxy};
    }
    return std::nullopt;
}

}  // namespace marldale::protocol
