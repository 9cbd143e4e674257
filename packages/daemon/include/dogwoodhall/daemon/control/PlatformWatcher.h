#pragma once

#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/control/RecordSource.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <functional>
#include <optional>

namespace dogwoodhall {

// Reads the records and, if the platform has one, the host list on the control thread. Only watchers keep a watch open.
// Other members read the records once at start, after a delay that depends on the first host list, once after each
// pause of the process, and whenever they must be confirmed.
//
// A watch waits on a connection that the service's kernel keeps open even if its response is lost. While it waits, the
// service is asked periodically whether it responds and whether it has records that the watch should have returned.
class PlatformWatcher {
public:
    struct Hooks {
        std::function<bool()> isWatcher;
        std::function<Duration()> pauseAfterChanges;
        std::function<bool()> hasPeers; // Other members may be running, known or not.
        std::function<Revision()> highestRevision;
        std::function<Duration()> hostListPeriod;
        std::function<Duration()> firstReadDelay; // Drawn at random on each call.
        std::function<bool()> isElectedWatcher; // Of a large fleet, as known now.
        std::function<void(const RecordBatch&)> recordsRead;
        std::function<void(const HostList&)> hostsRead;
        std::function<void()> recordsUnreachable; // Called when the records become unreadable.
        // The records must be confirmed by a read. Empty if they never must; the next two are then not called.
        std::function<bool()> needsConfirmation {};
        // The member holds every change that the service had acknowledged at this time.
        std::function<void(TimePoint)> confirmed {};
        // A read that began at this time got no answer.
        std::function<void(TimePoint)> unanswered {};
        // The service has answered, be it with only a part of the records.
        std::function<void()> answered {};
    };

    PlatformWatcher(asio::io_context&, RecordSource, Hooks, DaemonMetrics&);

    // These read until the event loop ends.
    asio::awaitable<void> watchRecords();
    asio::awaitable<void> watchHosts();
    // Reads the records immediately, replacing a watch in progress, which may take up to watchWait to respond.
    void readNow();
    // The same, and returns all records, not only those that have changed.
    void readAll();

private:
    using ReadResult = tl::expected<RecordBatch, ExchangeError>;

    asio::awaitable<void> awaitFirstRead();
    asio::awaitable<void> pauseAfterFirstRead();
    Duration startRetryDelay() const;
    // Fails with ErrorKind::Cancelled if the watch's response is lost although the service responds.
    ExchangeResult<RecordBatch> watch(Duration wait);
    asio::awaitable<void> readInto(std::optional<ReadResult>&, Duration wait);
    // Completes with an error when the response to the watch in progress is no longer to be expected.
    asio::awaitable<void> detectLostWatch(std::optional<ReadResult>&);
    asio::awaitable<void> readRecords(Duration wait, std::optional<bool>& isRead);
    bool needsConfirmation() const;
    asio::awaitable<void> confirmByRead();
    void reportConfirmed(TimePoint readBegan);
    void reportFailure(TimePoint readBegan, const ExchangeError&);
    void reportAnswer();
    void handleFailedBatch(const std::exception_ptr&);
    asio::awaitable<void> pause(Duration);

    asio::io_context& m_io;
    Hooks m_hooks;
    DaemonMetrics& m_metrics;
    RecordSource m_source;
    bool m_isReachable = true; // The last read succeeded.
    std::chrono::steady_clock::time_point m_recheckAt; // Next read after a failure, for non-watchers too.
    TimePoint m_confirmAfter; // Next read to confirm the records, after one that failed.
    asio::steady_timer m_firstHostListTimer; // Expires when the host list has been read for the first time.
    asio::steady_timer m_interrupt; // Cancelled to interrupt a read.
    bool m_wasWatcher = false; // Result of the previous check.
    bool m_isFirstRead = true; // No read has succeeded yet.
    bool m_mustReadNow = true; // Initially true, so that a starting member reads the current records.
};

} // namespace dogwoodhall
