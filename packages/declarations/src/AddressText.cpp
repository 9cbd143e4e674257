#include "dogwoodhall/declarations/AddressText.h"

#include <arpa/inet.h>

namespace dogwoodhall {

std::optional<NetworkAddress> parseListeningAddress(std::string_view text)
{
    auto address = parseNetworkAddress(text);
    if (!address)
        return std::nullopt;
    in6_addr binary {};
    const bool isIpv6 = address->ip.find(':') != std::string::npos;
    if (inet_pton(isIpv6 ? AF_INET6 : AF_INET, address->ip.c_str(), &binary) != 1)
        return std::nullopt;
    return address;
}

std::optional<NetworkAddress> parseRemoteAddress(std::string_view text)
{
    auto address = parseListeningAddress(text);
    return address && address->port != 0 ? address : std::nullopt;
}

} // namespace dogwoodhall
