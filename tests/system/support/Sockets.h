#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>

namespace dogwoodhall {

// Otherwise a process that the test starts later would inherit the socket and keep it open after it is closed here.
template <typename SocketType> void closeOnExec(SocketType& socket)
{
    ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

// Closes the connection with a reset.
inline void resetConnection(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace dogwoodhall
