#include "dogwoodhall/daemon/control/PlatformWatcher.h"

#include "dogwoodhall/telemetry/Logging.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <variant>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
// How long the first read of the records waits for the host list, which tells the size of the fleet. The host list
// answers within milliseconds where it answers at all.
constexpr Duration hostsPatience = std::chrono::seconds(1);
// Between reads of a member that could not read and does not watch. Each call costs, also a refused one, and outages
// last some seconds.
constexpr std::chrono::seconds recheckPeriod { 5 };

} // namespace

PlatformWatcher::PlatformWatcher(asio::io_context& io, RecordSource source, Hooks hooks, DaemonMetrics& metrics)
    : m_io(io)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_source(std::move(source))
    , m_hostsAsked(io)
    , m_interrupt(io, asio::steady_timer::time_point::max())
{
    const Duration patience = m_source.readHosts ? hostsPatience : Duration::zero();
    m_hostsAsked.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(patience));
}

asio::awaitable<void> PlatformWatcher::watchRecords()
{
    co_await awaitFirstRead();
    while (true) {
        // A member that has handed the watch on because it could not read finds out now and then whether it can again.
        const bool isRecheckDue = !m_isReachable && std::chrono::steady_clock::now() >= m_recheckAt;
        const bool isWatcher = m_hooks.isWatcher();
        if (std::exchange(m_wasWatcher, isWatcher) != isWatcher)
            DOGWOODHALL_LOG(platform, info) << (isWatcher ? "Watches" : "No longer watches") << " the records.";
        if (!m_mustReadAtOnce && !isRecheckDue && !isWatcher) {
            co_await pause(m_source.roleCheckPeriod);
            continue;
        }
        m_mustReadAtOnce = m_mustReadAtOnce || isRecheckDue;
        const bool isAtOnce = std::exchange(m_mustReadAtOnce, false);
        const Duration wait = isAtOnce ? Duration::zero() : m_source.watchWait;
        const auto ended = co_await (readRecords(wait) || m_interrupt.async_wait(useTuple));
        const bool* isRead = std::get_if<0>(&ended);
        if (isRead && *isRead && std::exchange(m_isFirstRead, false) && m_hooks.hasPeers())
            co_await pause(m_source.pauseAfterFirstRead);
        if (!isRead || *isRead)
            continue;
        m_mustReadAtOnce = m_mustReadAtOnce || isAtOnce;
        co_await pause(isAtOnce ? startRetryDelay() : m_source.retryDelay);
    }
}

// Members that start at once, and those that start while the configuration service is down, spread their reads.
asio::awaitable<void> PlatformWatcher::awaitFirstRead()
{
    co_await m_hostsAsked.async_wait(useTuple);
    co_await pause(m_hooks.firstReadDelay());
}

// Longer in a large fleet, all of which may be starting while the configuration service is down.
Duration PlatformWatcher::startRetryDelay() const
{
    return std::max(m_source.retryDelay, m_hooks.hostListPeriod() / 2) + m_hooks.firstReadDelay();
}

void PlatformWatcher::readAtOnce()
{
    m_mustReadAtOnce = true;
    m_interrupt.cancel();
}

asio::awaitable<bool> PlatformWatcher::readRecords(Duration wait)
{
    m_metrics.platformReads.add();
    const auto askedAt = std::chrono::steady_clock::now();
    auto batch = co_await m_source.readRecords(m_hooks.highestRevision(), wait);
    const bool wasReachable = std::exchange(m_isReachable, batch.has_value());
    if (!batch) {
        m_metrics.platformFailures.add();
        m_recheckAt = std::chrono::steady_clock::now() + recheckPeriod;
        DOGWOODHALL_LOG(platform, warning) << "Cannot read the configuration service: " << batch.error().detail << ".";
        if (wasReachable)
            m_hooks.recordsLost();
        co_return false;
    }
    if (!wasReachable)
        DOGWOODHALL_LOG(platform, info) << "The configuration service answers again.";
    m_hooks.recordsRead(*batch);
    if (wait == Duration::zero())
        co_return true;
    // A service that answers early although it has nothing new is stale or at fault; it is not asked without pause.
    const bool isEarly = std::chrono::steady_clock::now() - askedAt < wait / 2;
    if (batch->records.empty() && isEarly)
        co_await pause(m_source.retryDelay);
    else if (!batch->records.empty())
        co_await pause(m_hooks.pauseAfterNews());
    co_return true;
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
        m_hostsAsked.expires_after(std::chrono::steady_clock::duration::zero());
        co_await pause(m_hooks.hostListPeriod());
    }
}

asio::awaitable<void> PlatformWatcher::pause(Duration duration)
{
    asio::steady_timer timer(m_io, std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
    co_await timer.async_wait(useTuple);
}

} // namespace dogwoodhall
