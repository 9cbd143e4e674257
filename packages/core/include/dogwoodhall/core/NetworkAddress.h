#pragma once

#include "dogwoodhall/core/IpAddress.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// An IP address and a port. Host names are not accepted: processes connect by IP address.
struct NetworkAddress {
    IpAddress ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const NetworkAddress&, const NetworkAddress&) = default;
    friend bool operator==(const NetworkAddress&, const NetworkAddress&) = default;
};

// Formats as "127.0.0.1:80" or "[::1]:80".
std::string toString(const NetworkAddress&);

// Parses the format of toString(), for an address to listen on. Port 0 lets the system choose the port, and an
// unspecified IP address listens on all interfaces.
std::optional<NetworkAddress> parseNetworkAddress(std::string_view text);

// Like parseNetworkAddress(), for an address to connect to: rejects port 0 and the unspecified IP address, which would
// reach this host instead of a remote one.
std::optional<NetworkAddress> parseRemoteAddress(std::string_view text);

} // namespace dogwoodhall
