// The relay's lines: calls with orders, their answers, and the news of proxies.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marldale::protocol {

inline constexpr std::size_t kOrdersMost = 60000;  // bytes of orders in one call

// How many orders, from `first` on, go into one call. At least one.
[[nodiscard]] std::size_t ordersThatFit(const std::vector<std::string>& orders, std::size_t first);

// The line of a call, with its end.
[[nodiscard]] std::string applyLine(const std::vector<std::string>& orders, std::size_t first,
                                    std::size_t count);
[[nodiscard]] std::string watchLine();

struct Taken {
    std::size_t orders = 0;
};
struct Busy {};
struct Syntax {};
struct Unreadable {};
using Answer = std::variant<Taken, Busy, Syntax, Unreadable>;

// The answer to a call of `count` orders; more than were sent can't be taken.
[[nodiscard]] Answer parseAnswer(std::string_view line, std::size_t count);

struct SignOfLife {};
struct Hello {
    std::uint16_t proxy = 0;
    std::string zone;
    double rate = 0;
    bool fresh = false;
};
struct Bye {
    std::uint16_t proxy = 0;
};
struct Ack {
    std::uint16_t proxy = 0;
    std::uint64_t mark = 0;
    std::int64_t tookUs = 0;
};
using News = std::variant<SignOfLife, Hello, Bye, Ack>;

// Nothing if the line is no news, or a value in it is out of range.
[[nodiscard]] std::optional<News> parseNews(std::string_view line);

}  // namespace marldale::protocol
