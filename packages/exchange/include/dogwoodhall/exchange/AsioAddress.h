#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <boost/asio/ip/tcp.hpp>

namespace dogwoodhall {

boost::asio::ip::tcp::endpoint toEndpoint(const NetworkAddress&);
IpAddress fromAsio(const boost::asio::ip::address&);
NetworkAddress fromEndpoint(const boost::asio::ip::tcp::endpoint&);

} // namespace dogwoodhall
