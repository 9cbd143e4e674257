#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// An IPv4 or IPv6 address without a scope. Holds no invalid address: each way to make one either succeeds with a valid
// address or returns none.
class IpAddress {
public:
    using V4Bytes = std::array<std::uint8_t, 4>; // In network byte order.
    using V6Bytes = std::array<std::uint8_t, 16>; // In network byte order.

    IpAddress() = default; // 0.0.0.0
    explicit IpAddress(const V4Bytes&);
    explicit IpAddress(const V6Bytes&);

    // Parses "127.0.0.1" or "::1"; returns nullopt for anything else.
    static std::optional<IpAddress> parse(std::string_view text);
    static IpAddress v4(std::uint8_t a, std::uint8_t b, std::uint8_t c, std::uint8_t d);
    static IpAddress loopback() { return v4(127, 0, 0, 1); }

    bool isV6() const { return m_isV6; }
    // "0.0.0.0" or "::". A connection to it reaches this host.
    bool isUnspecified() const;

    V4Bytes v4Bytes() const; // Of an IPv4 address.
    V6Bytes v6Bytes() const { return m_bytes; } // Of an IPv6 address.

    friend auto operator<=>(const IpAddress&, const IpAddress&) = default;
    friend bool operator==(const IpAddress&, const IpAddress&) = default;

private:
    bool m_isV6 = false;
    V6Bytes m_bytes {}; // An IPv4 address occupies the first four.
};

// Formats as "127.0.0.1" or "::1".
std::string toString(const IpAddress&);

} // namespace dogwoodhall
