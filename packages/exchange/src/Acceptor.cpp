#include "dogwoodhall/exchange/Acceptor.h"

#include "dogwoodhall/exchange/UseTuple.h"

#include <sys/socket.h>
#include <utility>

namespace dogwoodhall {

namespace {

// An error that lasts, such as EMFILE, fails each attempt at once; without a pause the loop would take a whole core.
constexpr auto retryDelay = std::chrono::milliseconds(50);

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

Acceptor::Acceptor(const asio::any_io_executor& executor)
    : m_acceptor(executor)
    , m_retry(executor)
{
}

tl::expected<NetworkAddress, std::string> Acceptor::listen(const NetworkAddress& address, PortSharing sharing)
{
    boost::system::error_code ec;
    const asio::ip::tcp::endpoint local(asio::ip::make_address(address.ip, ec), address.port);
    if (!ec)
        m_acceptor.open(local.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec && sharing == PortSharing::Shared)
        m_acceptor.set_option(ReusePort(true), ec);
    if (!ec)
        m_acceptor.bind(local, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return tl::unexpected("cannot listen on " + toString(address) + ": " + ec.message());
    const auto bound = m_acceptor.local_endpoint(ec);
    return NetworkAddress { bound.address().to_string(), bound.port() };
}

asio::awaitable<void> Acceptor::run(TakeConnection takeConnection)
{
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
        // A connection that was accepted just before close() is closed unread: its caller knows that nothing has run.
        if (!m_acceptor.is_open())
            co_return;
        if (!ec) {
            takeConnection(std::move(socket));
        } else {
            m_retry.expires_after(retryDelay);
            co_await m_retry.async_wait(useTuple);
        }
    }
}

void Acceptor::close()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_retry.cancel();
}

} // namespace dogwoodhall
