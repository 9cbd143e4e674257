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
    // SO_REUSEPORT: several sockets listen on the port, and the kernel distributes connections among them.
    Shared,
};

// Listens on one TCP port and accepts connections until it is closed. Not thread-safe.
class Acceptor {
public:
    using ConnectionHandler = std::function<void(asio::ip::tcp::socket)>;
    // Whether another connection may be accepted before the loop runs other handlers.
    using HasRoom = std::function<bool()>;

    explicit Acceptor(const asio::any_io_executor&);

    // Returns the bound address, with the port chosen by the kernel if it was 0, or an error message.
    tl::expected<NetworkAddress, std::string> listen(const NetworkAddress&, PortSharing);

    // Passes each connection to the handler until close(). After an error, for example because no file descriptors are
    // left, waits 50 ms before the next attempt. Without HasRoom one connection is accepted in each round of the loop;
    // behind a crowd a caller then waits for as many rounds as connections came before its own. The object must outlive
    // the coroutine.
    asio::awaitable<void> run(ConnectionHandler, HasRoom = nullptr);

    // The kernel resets connections that have not been accepted yet.
    void close();

private:
    // Accepts connections that have already arrived, up to a bound.
    void acceptWaiting(const ConnectionHandler&, const HasRoom&);

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
};

} // namespace dogwoodhall
