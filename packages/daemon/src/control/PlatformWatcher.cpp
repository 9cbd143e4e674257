#include "dogwoodhall/daemon/control/PlatformWatcher.h"

#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/telemetry/Logging.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
// How long the first read of the records waits for the host list, from which the fleet size is known. The host list
// service normally responds within milliseconds.
constexpr Duration firstHostListTimeout = std::chrono::seconds(1);
// How long the response to a watch may take after its records are visible to other reads.
constexpr Duration maxWatchDelay = std::chrono::milliseconds(500);
// Interval between reads by a non-watcher whose last read failed. Every call has a cost, even a refused one, and
// outages last several seconds.
constexpr std::chrono::seconds recheckPeriod { 5 };
// How often a waiting watch looks whether the records must be confirmed. A confirmation that gets no answer has to end
// before the lease does.
constexpr Duration confirmationPoll = std::chrono::milliseconds(100);
// Between reads that fail to confirm the records.
constexpr Duration confirmationRetryDelay = std::chrono::seconds(1);
// Longer than the time-outs of a source. A failed read that took longer was held up by this process and says nothing
// about the service.
constexpr Duration maxReadTime = std::chrono::milliseconds(2500);

} // namespace

PlatformWatcher::PlatformWatcher(asio::io_context& io, RecordSource source, Hooks hooks, DaemonMetrics& metrics)
    : m_io(io)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_source(std::move(source))
    , m_firstHostListTimer(io)
    , m_interrupt(io, asio::steady_timer::time_point::max())
{
    const Duration timeout = m_source.readHosts ? firstHostListTimeout : Duration::zero();
    m_firstHostListTimer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
}

asio::awaitable<void> PlatformWatcher::watchRecords()
{
    co_await awaitFirstRead();
    while (true) {
        // A member that gave up the watch because its reads failed checks periodically whether they succeed again.
        const bool isRecheckDue = !m_isReachable && std::chrono::steady_clock::now() >= m_recheckAt;
        const bool isWatcher = m_hooks.isWatcher();
        if (std::exchange(m_wasWatcher, isWatcher) != isWatcher)
            DOGWOODHALL_LOG(platform, info) << (isWatcher ? "Watches" : "No longer watches") << " the records.";
        if (!m_mustReadNow && !isRecheckDue && !isWatcher) {
            if (needsConfirmation())
                co_await confirmByRead();
            else
                co_await pause(m_source.roleCheckPeriod);
            continue;
        }
        m_mustReadNow = m_mustReadNow || isRecheckDue;
        const bool isImmediate = std::exchange(m_mustReadNow, false);
        // After a failure, a read without waiting shows whether the service responds before a watch relies on it.
        const bool waits = !isImmediate && m_isReachable && !needsConfirmation();
        const Duration wait = waits ? m_source.watchWait : Duration::zero();
        std::optional<bool> isRead; // Empty if the read was interrupted.
        std::exception_ptr failure;
        co_await (captureException(readRecords(wait, isRead), failure) || m_interrupt.async_wait(useTuple));
        if (failure) {
            handleFailedBatch(failure);
            co_await pause(startRetryDelay());
        }
        if (isRead && *isRead && std::exchange(m_isFirstRead, false) && m_hooks.hasPeers())
            co_await pauseAfterFirstRead();
        if (!isRead || *isRead)
            continue;
        m_mustReadNow = m_mustReadNow || isImmediate;
        co_await pause(isImmediate ? startRetryDelay() : m_source.retryDelay);
    }
}

// Spreads the first reads of members that start simultaneously or while the configuration service is down.
asio::awaitable<void> PlatformWatcher::awaitFirstRead()
{
    co_await m_firstHostListTimer.async_wait(useTuple);
    co_await pause(m_hooks.firstReadDelay());
}

// Ends early for the watcher of a large fleet, on which its data centre depends.
asio::awaitable<void> PlatformWatcher::pauseAfterFirstRead()
{
    const auto end = std::chrono::steady_clock::now()
        + std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_source.pauseAfterFirstRead);
    bool isElected = m_hooks.isElectedWatcher();
    while (!isElected && !m_mustReadNow && std::chrono::steady_clock::now() < end) {
        co_await pause(m_source.roleCheckPeriod);
        isElected = m_hooks.isElectedWatcher();
    }
}

// Longer in a large fleet, because all its members may be starting while the configuration service is down.
Duration PlatformWatcher::startRetryDelay() const
{
    return std::max(m_source.retryDelay, m_hooks.hostListPeriod() / 2) + m_hooks.firstReadDelay();
}

void PlatformWatcher::readNow()
{
    m_mustReadNow = true;
    m_interrupt.cancel();
}

void PlatformWatcher::readAll()
{
    if (m_source.restart)
        m_source.restart();
    readNow();
}

// Some records of the batch may not have been accepted, so all are read again.
void PlatformWatcher::handleFailedBatch(const std::exception_ptr& failure)
{
    m_metrics.exceptions.add();
    DOGWOODHALL_LOG(platform, error) << "Cannot process the records read: " << describe(failure) << ".";
    if (m_source.restart)
        m_source.restart();
    m_mustReadNow = true;
}

asio::awaitable<void> PlatformWatcher::readInto(std::optional<ReadResult>& result, Duration wait)
{
    auto batch = co_await m_source.readRecords(m_hooks.highestRevision(), wait);
    // The source does not return a batch again, so that one which arrives late replaces the error of detectLostWatch().
    if (!result || batch)
        result = std::move(batch);
}

asio::awaitable<void> PlatformWatcher::detectLostWatch(std::optional<ReadResult>& result)
{
    TimePoint checkedAt = monotonicNow();
    while (true) {
        co_await pause(std::min(confirmationPoll, m_source.watchCheckPeriod));
        const TimePoint now = monotonicNow();
        const bool isConfirmation = needsConfirmation();
        if (!isConfirmation && now - checkedAt < m_source.watchCheckPeriod)
            continue;
        checkedAt = now;
        m_metrics.platformChecks.add();
        const auto hasNewer = co_await m_source.hasNewerRecords(
            isConfirmation ? ReadConsistency::Linearizable : ReadConsistency::MayBeStale);
        // The response has arrived, which cancels the check.
        if (result)
            co_return;
        if (!hasNewer && hasNewer.error().kind == ErrorKind::UpstreamRefused) {
            if (isConfirmation)
                reportFailure(now, hasNewer.error());
            continue;
        }
        if (hasNewer)
            reportAnswer();
        if (isConfirmation && hasNewer && *hasNewer == std::optional(false))
            reportConfirmed(now);
        if (!hasNewer) {
            // The failed watch began so long ago that its own failure says nothing about the service.
            if (isConfirmation)
                reportFailure(now, hasNewer.error());
            result = tl::unexpected(hasNewer.error());
            co_return;
        }
        if (!hasNewer->value_or(false))
            continue;
        co_await pause(maxWatchDelay); // The response may be on its way.
        if (result)
            co_return;
        m_metrics.watchesLost.add();
        DOGWOODHALL_LOG(platform, warning) << "The response to a watch is lost; the records are read again.";
        m_mustReadNow = true;
        ExchangeError error { ErrorKind::Cancelled, true, "the response to a watch is lost" };
        result = tl::unexpected(std::move(error));
        co_return;
    }
}

ExchangeResult<RecordBatch> PlatformWatcher::watch(Duration wait)
{
    std::optional<ReadResult> result;
    std::exception_ptr failure;
    co_await (captureException(readInto(result, wait), failure) || captureException(detectLostWatch(result), failure));
    if (failure)
        std::rethrow_exception(failure);
    ExchangeError interrupted { ErrorKind::Cancelled, true, "interrupted" };
    if (!result)
        co_return tl::unexpected(std::move(interrupted));
    co_return std::move(*result);
}

// Sets `isRead` at the end, to whether the read was successful.
asio::awaitable<void> PlatformWatcher::readRecords(Duration wait, std::optional<bool>& isRead)
{
    m_metrics.platformReads.add();
    const TimePoint startedAt = monotonicNow();
    std::optional<ReadResult> result;
    if (wait == Duration::zero() || !m_source.hasNewerRecords)
        co_await readInto(result, wait);
    else
        result = co_await watch(wait);
    auto& batch = *result;
    if (!batch && batch.error().kind == ErrorKind::Cancelled)
        co_return;
    const bool wasReachable = std::exchange(m_isReachable, batch.has_value());
    if (!batch) {
        m_metrics.platformFailures.add();
        m_recheckAt = std::chrono::steady_clock::now() + recheckPeriod;
        DOGWOODHALL_LOG(platform, warning) << "Cannot read the configuration service: " << batch.error().detail << ".";
        if (wasReachable)
            m_hooks.recordsUnreachable();
        reportFailure(startedAt, batch.error());
        isRead = false;
        co_return;
    }
    if (!wasReachable)
        DOGWOODHALL_LOG(platform, info) << "The configuration service answers again.";
    m_hooks.recordsRead(*batch);
    if (wait == Duration::zero()) {
        reportConfirmed(startedAt);
        isRead = true;
        co_return;
    }
    // A service that responds early without new records is stale or faulty; pause to avoid a busy loop.
    const bool isEarly = monotonicNow() - startedAt < wait / 2;
    if (batch->records.empty() && isEarly)
        co_await pause(m_source.retryDelay);
    else if (!batch->records.empty())
        co_await pause(m_hooks.pauseAfterChanges());
    isRead = true;
}

bool PlatformWatcher::needsConfirmation() const
{
    return m_hooks.needsConfirmation && monotonicNow() >= m_confirmAfter && m_hooks.needsConfirmation();
}

void PlatformWatcher::reportConfirmed(TimePoint readBegan)
{
    if (m_hooks.confirmed)
        m_hooks.confirmed(readBegan);
}

void PlatformWatcher::reportAnswer()
{
    if (m_hooks.answered)
        m_hooks.answered();
}

// An answer that is too large for its time shows that the service is available.
void PlatformWatcher::reportFailure(TimePoint readBegan, const ExchangeError& error)
{
    const TimePoint now = monotonicNow();
    m_confirmAfter = now + confirmationRetryDelay;
    if (error.kind == ErrorKind::UpstreamTruncated)
        reportAnswer();
    else if (m_hooks.unanswered && now - readBegan <= maxReadTime)
        m_hooks.unanswered(readBegan);
}

// A member that does not watch reads what it may have missed since the last records that it holds. Its failure does not
// make the records unreadable for the data centre, which does not depend on it.
asio::awaitable<void> PlatformWatcher::confirmByRead()
{
    m_metrics.platformReads.add();
    const TimePoint startedAt = monotonicNow();
    const Revision held = m_hooks.highestRevision();
    if (m_source.skipTo)
        m_source.skipTo(held);
    const auto batch = co_await m_source.readRecords(held, Duration::zero());
    if (!batch) {
        m_metrics.platformFailures.add();
        reportFailure(startedAt, batch.error());
        co_return;
    }
    m_hooks.recordsRead(*batch);
    reportConfirmed(startedAt);
}

asio::awaitable<void> PlatformWatcher::watchHosts()
{
    if (!m_source.readHosts)
        co_return;
    while (true) {
        m_metrics.platformReads.add();
        auto hosts = co_await m_source.readHosts();
        if (hosts) {
            m_hooks.hostsRead(*hosts);
        } else {
            m_metrics.platformFailures.add();
            DOGWOODHALL_LOG(platform, warning) << "Cannot read the host list: " << hosts.error().detail << ".";
        }
        m_firstHostListTimer.expires_after(std::chrono::steady_clock::duration::zero());
        co_await pause(m_hooks.hostListPeriod());
    }
}

asio::awaitable<void> PlatformWatcher::pause(Duration duration)
{
    asio::steady_timer timer(m_io, std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
    co_await timer.async_wait(useTuple);
}

} // namespace dogwoodhall
