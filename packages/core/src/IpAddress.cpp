#include "dogwoodhall/core/IpAddress.h"

#include <algorithm>
#include <arpa/inet.h>

namespace dogwoodhall {

IpAddress::IpAddress(const V4Bytes& bytes) { std::copy(bytes.begin(), bytes.end(), m_bytes.begin()); }

IpAddress::IpAddress(const V6Bytes& bytes)
    : m_isV6(true)
    , m_bytes(bytes)
{
}

std::optional<IpAddress> IpAddress::parse(std::string_view text)
{
    if (text.size() >= INET6_ADDRSTRLEN || text.find('\0') != std::string_view::npos)
        return std::nullopt;
    IpAddress address;
    address.m_isV6 = text.find(':') != std::string_view::npos;
    const std::string terminated(text);
    if (::inet_pton(address.m_isV6 ? AF_INET6 : AF_INET, terminated.c_str(), address.m_bytes.data()) != 1)
        return std::nullopt;
    return address;
}

bool IpAddress::isUnspecified() const { return m_bytes == V6Bytes {}; }

IpAddress IpAddress::v4(std::uint8_t a, std::uint8_t b, std::uint8_t c, std::uint8_t d)
{
    return IpAddress(V4Bytes { a, b, c, d });
}

IpAddress::V4Bytes IpAddress::v4Bytes() const
{
    V4Bytes bytes;
    std::copy_n(m_bytes.begin(), bytes.size(), bytes.begin());
    return bytes;
}

std::string toString(const IpAddress& address)
{
    std::array<char, INET6_ADDRSTRLEN> buf {};
    const auto v4 = address.v4Bytes();
    const auto v6 = address.v6Bytes();
    if (address.isV6())
        ::inet_ntop(AF_INET6, v6.data(), buf.data(), buf.size());
    else
        ::inet_ntop(AF_INET, v4.data(), buf.data(), buf.size());
    return buf.data();
}

} // namespace dogwoodhall
