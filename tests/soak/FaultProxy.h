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
    Delayed, // Each chunk is forwarded after `delay`.
    Reset, // Open and new connections are reset.
    TurnedAway, // Open connections are reset; requests on new ones are answered 429 and 503 in turn.
    ResponsesStalled, // Data from the target is held back until the fault ends.
    Stalled, // Data in both directions is held back until the fault ends.
    OpenConnectionsStalled, // Connections open at this time stall for good; new ones work.
};

// Forwards TCP connections on loopback to one target and injects network faults. All methods run on the event loop's
// thread.
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context&, NetworkAddress target);
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    NetworkAddress address() const;
    void setFault(LinkFault, Duration delay = {});

private:
    struct ProxiedConnection {
        boost::asio::ip::tcp::socket clientSocket;
        boost::asio::ip::tcp::socket targetSocket;
        bool isPermanentlyStalled = false;
    };
    enum class Direction { ToTarget, FromTarget };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(std::shared_ptr<ProxiedConnection>);
    boost::asio::awaitable<void> turnAway(std::shared_ptr<ProxiedConnection>);
    boost::asio::awaitable<void> forward(std::shared_ptr<ProxiedConnection>, Direction);
    boost::asio::awaitable<void> waitWhileStalled(std::shared_ptr<ProxiedConnection>, Direction);
    bool isStalled(const ProxiedConnection&, Direction) const;

    boost::asio::io_context& m_io;
    NetworkAddress m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_faultChanged; // Cancelled when the fault changes.
    LinkFault m_fault = LinkFault::None;
    Duration m_delay {};
    std::list<std::weak_ptr<ProxiedConnection>> m_connections;
};

} // namespace dogwoodhall::soak
