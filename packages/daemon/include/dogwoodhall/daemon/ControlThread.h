#pragma once

#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/daemon/PlatformClient.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/declarations/Settings.h"
#include "dogwoodhall/http/CallerSession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace dogwoodhall {

// The control thread's state: the configuration in force, the host list and the operators' port. Publishes snapshots.
// Runs on the thread that calls run().
class ControlThread {
public:
    struct Hooks {
        std::function<void(SnapshotPointer)> publish;
        std::function<void()> beginDrain; // Start the graceful stop.
        std::function<void()> stopNow; // The forced stop.
    };

    ControlThread(const Settings&, Hooks);

    NetworkAddress listen();
    void run() { m_io.run(); }
    void stop() { m_io.stop(); }

    asio::io_context& io() { return m_io; }
    void setDraining();

private:
    asio::awaitable<void> watchRecords();
    asio::awaitable<void> watchHosts();
    asio::awaitable<void> acceptOperators();
    asio::awaitable<void> serveOperator(ConnectionId);
    asio::awaitable<void> handleOperator(IncomingRequest, ResponseWriter);
    asio::awaitable<void> pause(Duration);
    void accept(const RecordBatch&);
    void publish();

    Settings m_settings;
    Hooks m_hooks;
    asio::io_context m_io { 1 };
    asio::ip::tcp::acceptor m_acceptor;
    PlatformClient m_records;
    PlatformClient m_hostLists;
    ConfigurationInForce m_configuration;
    HostList m_hosts;
    bool m_isDraining = false;
    std::unordered_map<ConnectionId, std::unique_ptr<CallerSession>> m_operators;
    std::uint64_t m_nextConnection = 1;
};

} // namespace dogwoodhall
