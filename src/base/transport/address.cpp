#include "transport/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace marldale::transport {

sockaddr_in Address::socketAddress() const {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &out.sin_addr);
    return out;
}

std::optional<Address> parseAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    Address out{std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), out.port);
    in_addr parsed{};
    if (error != std::errc{} || end != port.data() + port.size() ||
        inet_pton(AF_INET, out.host.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return out;
}

}  // namespace marldale::transport
