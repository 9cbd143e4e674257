#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// An IP address and a port. Host names are not accepted: processes connect by IP address.
struct NetworkAddress {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const NetworkAddress&, const NetworkAddress&) = default;
    friend bool operator==(const NetworkAddress&, const NetworkAddress&) = default;
};

// Formats as "127.0.0.1:80" or "[::1]:80".
std::string toString(const NetworkAddress&);

// Parses the format of toString(). Returns nullopt if the port is missing or out of range, or if the IP part contains a
// character that no IP address has.
std::optional<NetworkAddress> parseNetworkAddress(std::string_view text);

} // namespace dogwoodhall
