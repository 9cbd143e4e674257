#include "FaultProxy.h"

#include "Sockets.h"

#include "dogwoodhall/exchange/UseTuple.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

namespace dogwoodhall::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t bufferBytes = 16 * 1024;

} // namespace

FaultProxy::FaultProxy(asio::io_context& io, NetworkAddress target)
    : m_io(io)
    , m_target(target)
    , m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_faultChanged(io, asio::steady_timer::time_point::max())
{
    closeOnExec(m_acceptor);
    asio::co_spawn(m_io, accept(), asio::detached);
}

NetworkAddress FaultProxy::address() const { return { IpAddress::loopback(), m_acceptor.local_endpoint().port() }; }

void FaultProxy::setFault(LinkFault fault, Duration delay)
{
    m_fault = fault == LinkFault::OpenConnectionsStalled ? LinkFault::None : fault;
    m_delay = delay;
    std::erase_if(m_connections, [](const auto& connection) { return connection.expired(); });
    for (const auto& it : m_connections) {
        const auto connection = it.lock();
        connection->isPermanentlyStalled
            = connection->isPermanentlyStalled || fault == LinkFault::OpenConnectionsStalled;
        if (fault == LinkFault::Reset || fault == LinkFault::TurnedAway) {
            resetConnection(connection->clientSocket);
            resetConnection(connection->targetSocket);
        }
    }
    m_faultChanged.cancel();
}

asio::awaitable<void> FaultProxy::accept()
{
    while (true) {
        auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
        if (ec)
            continue;
        closeOnExec(socket);
        auto connection
            = std::make_shared<ProxiedConnection>(ProxiedConnection { std::move(socket), tcp::socket(m_io), false });
        asio::co_spawn(m_io, connect(std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::connect(std::shared_ptr<ProxiedConnection> connection)
{
    m_connections.push_back(connection);
    if (m_fault == LinkFault::TurnedAway)
        co_return co_await turnAway(connection);
    connection->targetSocket.open(tcp::v4());
    closeOnExec(connection->targetSocket);
    auto [ec] = co_await connection->targetSocket.async_connect(
        { asio::ip::address_v4::loopback(), m_target.port }, useTuple);
    if (ec || m_fault == LinkFault::Reset) {
        resetConnection(connection->clientSocket);
        co_return;
    }
    asio::co_spawn(m_io, forward(connection, Direction::FromTarget), asio::detached);
    co_await forward(connection, Direction::ToTarget);
}

asio::awaitable<void> FaultProxy::turnAway(std::shared_ptr<ProxiedConnection> connection)
{
    constexpr std::string_view answers[] = { "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" };
    std::string request;
    for (std::size_t n = 0; m_fault == LinkFault::TurnedAway; ++n) {
        const auto [ec, size] = co_await asio::async_read_until(
            connection->clientSocket, asio::dynamic_buffer(request, bufferBytes), "\r\n\r\n", useTuple);
        if (ec)
            break;
        request.erase(0, size);
        const auto answer = answers[n % std::size(answers)];
        co_await asio::async_write(connection->clientSocket, asio::buffer(answer), useTuple);
    }
    resetConnection(connection->clientSocket);
}

asio::awaitable<void> FaultProxy::forward(std::shared_ptr<ProxiedConnection> connection, Direction direction)
{
    auto& from = direction == Direction::ToTarget ? connection->clientSocket : connection->targetSocket;
    auto& to = direction == Direction::ToTarget ? connection->targetSocket : connection->clientSocket;
    std::array<char, bufferBytes> buf;
    while (true) {
        auto [ec, n] = co_await from.async_read_some(asio::buffer(buf), useTuple);
        co_await waitWhileStalled(connection, direction);
        if (m_fault == LinkFault::Delayed) {
            asio::steady_timer timer(m_io, std::chrono::duration_cast<asio::steady_timer::duration>(m_delay));
            co_await timer.async_wait(useTuple);
        }
        if (ec == asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, ec);
            co_return;
        }
        if (!ec)
            std::tie(ec, n) = co_await asio::async_write(to, asio::buffer(buf.data(), n), useTuple);
        if (!ec)
            continue;
        resetConnection(connection->clientSocket);
        resetConnection(connection->targetSocket);
        co_return;
    }
}

asio::awaitable<void> FaultProxy::waitWhileStalled(std::shared_ptr<ProxiedConnection> connection, Direction direction)
{
    while (isStalled(*connection, direction))
        co_await m_faultChanged.async_wait(useTuple);
}

bool FaultProxy::isStalled(const ProxiedConnection& connection, Direction direction) const
{
    const bool areResponsesStalled = m_fault == LinkFault::ResponsesStalled && direction == Direction::FromTarget;
    return connection.isPermanentlyStalled || m_fault == LinkFault::Stalled || areResponsesStalled;
}

} // namespace dogwoodhall::soak
