#include "dogwoodhall/exchange/Acceptor.h"

#include "dogwoodhall/exchange/AsioAddress.h"
#include "dogwoodhall/exchange/UseTuple.h"

#include <sys/socket.h>
#include <utility>

namespace dogwoodhall {

namespace {

// While a persistent error such as EMFILE lasts, each attempt fails immediately; without a delay the loop would
// saturate a core.
constexpr auto retryDelay = std::chrono::milliseconds(50);

// Bounds the time until the loop runs other handlers.
constexpr std::size_t maxAcceptedAtOnce = 64;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

Acceptor::Acceptor(const asio::any_io_executor& executor)
    : m_acceptor(executor)
    , m_retryTimer(executor)
{
}

tl::expected<NetworkAddress, std::string> Acceptor::listen(const NetworkAddress& address, PortSharing sharing)
{
    boost::system::error_code ec;
    const auto local = toEndpoint(address);
    m_acceptor.open(local.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec && sharing == PortSharing::Shared)
        m_acceptor.set_option(ReusePort(true), ec);
    if (!ec)
        m_acceptor.bind(local, ec);
    if (!ec)
        m_acceptor.non_blocking(true, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return tl::unexpected("cannot listen on " + toString(address) + ": " + ec.message());
    const auto bound = m_acceptor.local_endpoint(ec);
    if (ec)
        return tl::unexpected("cannot listen on " + toString(address) + ": " + ec.message());
    return fromEndpoint(bound);
}

asio::awaitable<void> Acceptor::run(ConnectionHandler handleConnection, HasRoom hasRoom)
{
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
        // A connection accepted just before close() is closed unread, so that its caller knows that nothing has run.
        if (!m_acceptor.is_open())
            co_return;
        if (!ec) {
            handleConnection(std::move(socket));
            if (hasRoom)
                acceptWaiting(handleConnection, hasRoom);
        } else {
            m_retryTimer.expires_after(retryDelay);
            co_await m_retryTimer.async_wait(useTuple);
        }
    }
}

void Acceptor::acceptWaiting(const ConnectionHandler& handleConnection, const HasRoom& hasRoom)
{
    boost::system::error_code ec;
    for (std::size_t n = 1; n < maxAcceptedAtOnce && m_acceptor.is_open() && hasRoom(); ++n) {
        auto socket = m_acceptor.accept(ec);
        // An error other than an empty queue is met again, and handled, by the next asynchronous accept.
        if (ec)
            return;
        handleConnection(std::move(socket));
    }
}

void Acceptor::close()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_retryTimer.cancel();
}

} // namespace dogwoodhall
