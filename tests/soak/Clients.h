#pragma once

#include "Ledger.h"

#include "dogwoodhall/core/NetworkAddress.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace dogwoodhall::soak {

inline constexpr std::size_t defaultMaxPauseMs = 80;

// Clients that each send one request at a time over a persistent connection, and reconnect when the daemon closes it.
// All methods run on the event loop's thread.
class Clients {
public:
    struct Target {
        NetworkAddress address;
        std::uint64_t incarnation = 0;
    };

    // Each client waits for a random time up to `maxPauseMs` before a request.
    Clients(boost::asio::io_context&, Ledger&, std::uint64_t seed, std::size_t maxPauseMs);

    // New connections to the daemon use this address.
    void setTarget(std::size_t daemon, Target);
    void setRoutingVersion(std::uint64_t version) { m_routingVersion = version; }
    void start(std::size_t clients);
    // Sends no new requests, and calls `onStopped` when the last pending one has ended.
    void stop(std::function<void()> onStopped);

private:
    class Connection;

    boost::asio::awaitable<void> run(std::size_t client);
    boost::asio::awaitable<CallRecord> send(Connection&, const std::string& id);
    std::size_t randomBelow(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }

    boost::asio::io_context& m_io;
    Ledger& m_ledger;
    std::mt19937_64 m_random;
    std::size_t m_maxPauseMs;
    std::vector<Target> m_targets;
    std::uint64_t m_routingVersion = 0;
    std::size_t m_activeClients = 0;
    bool m_isStopping = false;
    std::function<void()> m_onStopped;
};

} // namespace dogwoodhall::soak
