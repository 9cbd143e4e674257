#pragma once

#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/PlatformClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace dogwoodhall {

// Reads the configuration service and the host list on the control thread. Only watchers keep a watch open; the other
// members read the records once, at their start, after a delay that the first host list decides.
class PlatformWatcher {
public:
    struct Hooks {
        std::function<bool()> isWatcher;
        std::function<Revision()> highestRevision;
        std::function<Duration()> hostListPeriod;
        std::function<Duration()> firstReadDelay; // Drawn anew at each call.
        std::function<void(const RecordBatch&)> recordsRead;
        std::function<void(const HostList&)> hostsRead;
    };

    PlatformWatcher(asio::io_context&, const NetworkAddress& platform, Hooks, DaemonMetrics&);

    // Read until the event loop ends.
    asio::awaitable<void> watchRecords();
    asio::awaitable<void> watchHosts();

private:
    asio::awaitable<void> awaitFirstRead();
    Duration startRetryDelay() const;
    asio::awaitable<bool> readRecords(Duration wait);
    asio::awaitable<void> pause(Duration);

    asio::io_context& m_io;
    Hooks m_hooks;
    DaemonMetrics& m_metrics;
    PlatformClient m_records;
    PlatformClient m_hosts;
    asio::steady_timer m_hostsAsked; // Ends with the first read of the host list.
};

} // namespace dogwoodhall
