// Orders as the platform's relay takes them, read strictly. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/order.h"

namespace marldale::proxy {

inline constexpr std::size_t kNameMost = 255;  // bytes of a server's name

// One order; nothing, and why in `wrong`, if it is none. `classes`: all that there are, by index.
[[nodiscard]] std::optional<protocol::Order> readOrder(std::string_view text,
                                                       const std::vector<std::string>& classes,
                                                       std::string& wrong);
// What stands between `;`.
[[nodiscard]] std::vector<std::string_view> ordersOf(std::string_view call);

}  // namespace marldale::proxy
