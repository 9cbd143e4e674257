#include "dogwoodhall/daemon/PlatformWatcher.h"

#include "dogwoodhall/telemetry/Logging.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr Duration watchWait = std::chrono::seconds(20);
constexpr Duration retryDelay = std::chrono::milliseconds(500);
// How often a member that is no watcher checks whether it has become one.
constexpr Duration roleCheckPeriod = std::chrono::seconds(1);
// How long the first read of the records waits for the host list, which tells the size of the fleet. The host list
// answers within milliseconds where it answers at all.
constexpr Duration hostsPatience = std::chrono::seconds(1);

} // namespace

PlatformWatcher::PlatformWatcher(
    asio::io_context& io, const NetworkAddress& platform, Hooks hooks, DaemonMetrics& metrics)
    : m_io(io)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_records(io.get_executor(), platform)
    , m_hosts(io.get_executor(), platform)
    , m_hostsAsked(io, std::chrono::duration_cast<std::chrono::steady_clock::duration>(hostsPatience))
{
}

asio::awaitable<void> PlatformWatcher::watchRecords()
{
    bool isStarted = false;
    co_await awaitFirstRead();
    while (true) {
        if (isStarted && !m_hooks.isWatcher()) {
            co_await pause(roleCheckPeriod);
            continue;
        }
        // The first read does not wait, so that a starting member learns what is in force.
        const bool isRead = co_await readRecords(isStarted ? watchWait : Duration::zero());
        isStarted = isStarted || isRead;
        if (!isRead)
            co_await pause(isStarted ? retryDelay : startRetryDelay());
    }
}

// Members that start at once, and those that start while the configuration service is down, spread their reads.
asio::awaitable<void> PlatformWatcher::awaitFirstRead()
{
    co_await m_hostsAsked.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await pause(m_hooks.firstReadDelay());
}

// Longer in a large fleet, all of which may be starting while the configuration service is down.
Duration PlatformWatcher::startRetryDelay() const
{
    return std::max(retryDelay, m_hooks.hostListPeriod() / 2) + m_hooks.firstReadDelay();
}

asio::awaitable<bool> PlatformWatcher::readRecords(Duration wait)
{
    m_metrics.platformReads.add();
    auto batch = co_await m_records.readRecords(m_hooks.highestRevision(), wait);
    if (!batch) {
        m_metrics.platformFailures.add();
        DOGWOODHALL_LOG(platform, warning) << "Cannot read the configuration service: " << batch.error().detail << ".";
        co_return false;
    }
    m_hooks.recordsRead(*batch);
    // A service that answers at once although it has nothing new is stale or at fault; it is not asked without pause.
    if (wait > Duration::zero() && batch->records.empty())
        co_await pause(retryDelay);
    co_return true;
}

asio::awaitable<void> PlatformWatcher::watchHosts()
{
    while (true) {
        m_metrics.platformReads.add();
        auto hosts = co_await m_hosts.readHosts();
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
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace dogwoodhall
