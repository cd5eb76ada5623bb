// Numeric IPv4 addresses with a port. There is no DNS where the planner runs.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace marldale::transport {

struct Address {
    std::string host;  // dotted, as it came
    std::uint16_t port = 0;

    [[nodiscard]] sockaddr_in socketAddress() const;
    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
    bool operator==(const Address&) const = default;
};

[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

}  // namespace marldale::transport
