#include "FaultProxy.h"

#include "Sockets.h"

#include "dogwoodhall/exchange/UseTuple.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace dogwoodhall::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t bufferBytes = 16 * 1024;

} // namespace

FaultProxy::FaultProxy(asio::io_context& io, NetworkAddress target)
    : m_io(io)
    , m_target(std::move(target))
    , m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_changed(io, asio::steady_timer::time_point::max())
{
    closeOnExec(m_acceptor);
    asio::co_spawn(m_io, accept(), asio::detached);
}

NetworkAddress FaultProxy::address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

void FaultProxy::setFault(LinkFault fault, Duration delay)
{
    m_fault = fault == LinkFault::Dead ? LinkFault::None : fault;
    m_delay = delay;
    std::erase_if(m_links, [](const auto& link) { return link.expired(); });
    for (const auto& it : m_links) {
        const auto link = it.lock();
        link->isDead = link->isDead || fault == LinkFault::Dead;
        if (fault == LinkFault::Reset) {
            resetConnection(link->near);
            resetConnection(link->far);
        }
    }
    m_changed.cancel();
}

asio::awaitable<void> FaultProxy::accept()
{
    while (true) {
        auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
        if (ec)
            continue;
        closeOnExec(socket);
        auto link = std::make_shared<Link>(Link { std::move(socket), tcp::socket(m_io), false });
        asio::co_spawn(m_io, connect(std::move(link)), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::connect(std::shared_ptr<Link> link)
{
    m_links.push_back(link);
    link->far.open(tcp::v4());
    closeOnExec(link->far);
    auto [ec] = co_await link->far.async_connect({ asio::ip::address_v4::loopback(), m_target.port }, useTuple);
    if (ec || m_fault == LinkFault::Reset) {
        resetConnection(link->near);
        co_return;
    }
    asio::co_spawn(m_io, pump(link, Direction::FromTarget), asio::detached);
    co_await pump(link, Direction::ToTarget);
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Link> link, Direction direction)
{
    auto& from = direction == Direction::ToTarget ? link->near : link->far;
    auto& to = direction == Direction::ToTarget ? link->far : link->near;
    std::array<char, bufferBytes> buf;
    while (true) {
        auto [ec, n] = co_await from.async_read_some(asio::buffer(buf), useTuple);
        co_await waitWhileHeld(link, direction);
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
        resetConnection(link->near);
        resetConnection(link->far);
        co_return;
    }
}

asio::awaitable<void> FaultProxy::waitWhileHeld(std::shared_ptr<Link> link, Direction direction)
{
    while (isHeld(*link, direction))
        co_await m_changed.async_wait(useTuple);
}

bool FaultProxy::isHeld(const Link& link, Direction direction) const
{
    const bool isCutOneWay = m_fault == LinkFault::OneWay && direction == Direction::FromTarget;
    return link.isDead || m_fault == LinkFault::Silent || isCutOneWay;
}

} // namespace dogwoodhall::soak
