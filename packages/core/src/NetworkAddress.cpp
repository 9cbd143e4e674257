#include "dogwoodhall/core/NetworkAddress.h"

#include <charconv>

namespace dogwoodhall {

namespace {

constexpr std::string_view ipv4Characters = "0123456789.";
constexpr std::string_view ipv6Characters = "0123456789abcdefABCDEF:.";

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return port;
}

} // namespace

std::string toString(const NetworkAddress& address)
{
    const bool isIpv6 = address.ip.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::optional<NetworkAddress> parseNetworkAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    std::string_view ip = text.substr(0, colon);
    std::string_view allowed = ipv4Characters;
    if (ip.front() == '[') {
        if (ip.back() != ']' || ip.size() < 3)
            return std::nullopt;
        ip = ip.substr(1, ip.size() - 2);
        allowed = ipv6Characters;
    }
    if (ip.find_first_not_of(allowed) != std::string_view::npos)
        return std::nullopt;
    auto port = parsePort(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    return NetworkAddress { std::string(ip), *port };
}

} // namespace dogwoodhall
