#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>

namespace dogwoodhall {

// A process that the test starts later would hold an inherited socket open past its end here.
template <typename SocketType> void closeOnExec(SocketType& socket)
{
    ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

// Closes the connection so that the other side sees a reset.
inline void resetConnection(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace dogwoodhall
