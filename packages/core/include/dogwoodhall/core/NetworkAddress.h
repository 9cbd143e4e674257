#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// An IP number and a port. Host names are not accepted: processes talk by IP number.
struct NetworkAddress {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const NetworkAddress&, const NetworkAddress&) = default;
    friend bool operator==(const NetworkAddress&, const NetworkAddress&) = default;
};

// "127.0.0.1:80" or "[::1]:80".
std::string toString(const NetworkAddress&);

// Parses the form of toString(). Empty where the port is missing or out of range, or the IP part holds a character
// that no IP number has.
std::optional<NetworkAddress> parseNetworkAddress(std::string_view text);

} // namespace dogwoodhall
