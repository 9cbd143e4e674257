#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

namespace dogwoodhall::soak {

enum class LinkFault {
    None,
    Delayed, // Each part is held for `delay`.
    Reset, // Open connections are reset, and new ones too.
    OneWay, // What the target sends is held until the fault ends.
    Silent, // Both directions are held until the fault ends.
    Dead, // Connections that are open now stay silent for good, new ones work.
};

// Forwards TCP connections on loopback to one target, with faults. All on the thread of the event loop.
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context&, NetworkAddress target);
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    NetworkAddress address() const;
    void setFault(LinkFault, Duration delay = {});

private:
    struct Link {
        boost::asio::ip::tcp::socket near;
        boost::asio::ip::tcp::socket far;
        bool isDead = false;
    };
    enum class Direction { ToTarget, FromTarget };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(std::shared_ptr<Link>);
    boost::asio::awaitable<void> pump(std::shared_ptr<Link>, Direction);
    boost::asio::awaitable<void> waitWhileHeld(std::shared_ptr<Link>, Direction);
    bool isHeld(const Link&, Direction) const;

    boost::asio::io_context& m_io;
    NetworkAddress m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_changed; // Cancelled when the fault changes.
    LinkFault m_fault = LinkFault::None;
    Duration m_delay {};
    std::list<std::weak_ptr<Link>> m_links;
};

} // namespace dogwoodhall::soak
