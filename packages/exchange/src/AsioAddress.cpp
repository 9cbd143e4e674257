#include "dogwoodhall/exchange/AsioAddress.h"

namespace dogwoodhall {

namespace asio = boost::asio;

asio::ip::tcp::endpoint toEndpoint(const NetworkAddress& address)
{
    if (address.ip.isV6())
        return { asio::ip::address_v6(address.ip.v6Bytes()), address.port };
    return { asio::ip::address_v4(address.ip.v4Bytes()), address.port };
}

IpAddress fromAsio(const asio::ip::address& address)
{
    if (address.is_v6())
        return IpAddress(address.to_v6().to_bytes());
    return IpAddress(address.to_v4().to_bytes());
}

NetworkAddress fromEndpoint(const asio::ip::tcp::endpoint& endpoint)
{
    return { fromAsio(endpoint.address()), endpoint.port() };
}

} // namespace dogwoodhall
