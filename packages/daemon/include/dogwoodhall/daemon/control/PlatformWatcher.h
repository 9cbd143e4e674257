#pragma once

#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/control/RecordSource.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace dogwoodhall {

// Reads the records and, where there is one, the host list on the control thread. Only watchers keep a watch open; the
// other members read the records once after a pause and at their start, there after a delay that the first host list
// decides.
class PlatformWatcher {
public:
    struct Hooks {
        std::function<bool()> isWatcher;
        std::function<Duration()> pauseAfterNews;
        std::function<bool()> hasPeers; // Others may run, heard of or not.
        std::function<Revision()> highestRevision;
        std::function<Duration()> hostListPeriod;
        std::function<Duration()> firstReadDelay; // Drawn anew at each call.
        std::function<void(const RecordBatch&)> recordsRead;
        std::function<void(const HostList&)> hostsRead;
        std::function<void()> recordsLost; // The records could be read, and now cannot.
    };

    PlatformWatcher(asio::io_context&, RecordSource, Hooks, DaemonMetrics&);

    // Read until the event loop ends.
    asio::awaitable<void> watchRecords();
    asio::awaitable<void> watchHosts();
    // Reads the records without waiting, in place of a watch under way, whose answer may be watchWait away.
    void readAtOnce();

private:
    asio::awaitable<void> awaitFirstRead();
    Duration startRetryDelay() const;
    asio::awaitable<bool> readRecords(Duration wait);
    asio::awaitable<void> pause(Duration);

    asio::io_context& m_io;
    Hooks m_hooks;
    DaemonMetrics& m_metrics;
    RecordSource m_source;
    bool m_isReachable = true; // The last read succeeded.
    std::chrono::steady_clock::time_point m_recheckAt; // Next read after a failure, also without the watch.
    asio::steady_timer m_hostsAsked; // Ends with the first read of the host list.
    asio::steady_timer m_interrupt; // Cancelled to end a read.
    bool m_wasWatcher = false; // At the last look.
    bool m_isFirstRead = true; // No read has succeeded yet.
    bool m_mustReadAtOnce = true; // At the start, so that a starting member learns what is in force.
};

} // namespace dogwoodhall
