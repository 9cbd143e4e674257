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

// Clients that send requests one after another on connections that they keep until the daemon ends them. All on the
// thread of the event loop.
class Clients {
public:
    struct Target {
        NetworkAddress address;
        std::uint64_t lifetime = 0;
    };

    Clients(boost::asio::io_context&, Ledger&, std::uint64_t seed);

    // Where a daemon listens from now on.
    void setTarget(std::size_t daemon, Target);
    void setVersion(std::uint64_t version) { m_version = version; }
    void start(std::size_t clients);
    // No new requests; `ended` is called when the last one has ended.
    void stop(std::function<void()> ended);

private:
    class Connection;

    boost::asio::awaitable<void> run(std::size_t client);
    boost::asio::awaitable<CallRecord> send(Connection&, const std::string& id);
    std::size_t below(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }

    boost::asio::io_context& m_io;
    Ledger& m_ledger;
    std::mt19937_64 m_random;
    std::vector<Target> m_targets;
    std::uint64_t m_version = 0;
    std::size_t m_running = 0;
    bool m_isStopping = false;
    std::function<void()> m_ended;
};

} // namespace dogwoodhall::soak
