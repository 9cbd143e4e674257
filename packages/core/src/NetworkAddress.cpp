#include "dogwoodhall/core/NetworkAddress.h"

#include <charconv>

namespace dogwoodhall {

namespace {

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
    const auto ip = toString(address.ip);
    return (address.ip.isV6() ? "[" + ip + "]" : ip) + ":" + std::to_string(address.port);
}

std::optional<NetworkAddress> parseNetworkAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    const auto ip = IpAddress::parse(host);
    const auto port = parsePort(text.substr(colon + 1));
    if (!ip || !port || ip->isV6() != isBracketed)
        return std::nullopt;
    return NetworkAddress { *ip, *port };
}

std::optional<NetworkAddress> parseRemoteAddress(std::string_view text)
{
    auto address = parseNetworkAddress(text);
    const bool isRemote = address && address->port != 0 && !address->ip.isUnspecified();
    return isRemote ? address : std::nullopt;
}

} // namespace dogwoodhall
