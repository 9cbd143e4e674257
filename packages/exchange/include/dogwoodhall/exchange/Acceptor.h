#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace dogwoodhall {

namespace asio = boost::asio;

enum class PortSharing : std::uint8_t {
    Exclusive,
    // SO_REUSEPORT: several sockets listen on the port, and the kernel spreads connections over them.
    Shared,
};

// Listens on one TCP port and accepts connections until it is closed. Not thread-safe.
class Acceptor {
public:
    using TakeConnection = std::function<void(asio::ip::tcp::socket)>;

    explicit Acceptor(const asio::any_io_executor&);

    // Gives the bound address, with the kernel's choice where the port was 0, or the reason of the failure.
    tl::expected<NetworkAddress, std::string> listen(const NetworkAddress&, PortSharing);

    // Hands each connection to the hook until close(). After an error, for example because no file descriptor is left,
    // pauses for 50 ms before the next attempt. The object must outlive the run.
    asio::awaitable<void> run(TakeConnection);

    // Connections that wait to be accepted are reset by the kernel.
    void close();

private:
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retry;
};

} // namespace dogwoodhall
