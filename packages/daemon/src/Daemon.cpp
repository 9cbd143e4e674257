#include "dogwoodhall/daemon/Daemon.h"

#include "dogwoodhall/budget/PingBudget.h"
#include "dogwoodhall/commandline/CommandLine.h"
#include "dogwoodhall/daemon/CallOn.h"
#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/declarations/SettingsParser.h"
#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/UseTuple.h"
#include "dogwoodhall/telemetry/Logging.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <random>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr int forcedStopStatus = 3;
constexpr std::size_t unknownDescriptorLimit = 1024; // The usual limit of a process.
// Maximum delay of event log lines. Each write costs a system call.
constexpr auto eventWritePeriod = std::chrono::milliseconds(100);
// Safety margin before the platform kills a process that has not ended.
constexpr Duration forcedStopMargin = std::chrono::milliseconds(200);
// Before the forced stop: time in which the requests that reach their time limit are answered, and then the others.
constexpr Duration answerMargin = std::chrono::milliseconds(100);
constexpr Duration endRequestsMargin = std::chrono::milliseconds(50);
// By how much the forced stop may be late if the traffic threads are.
constexpr Duration maxForcedStopDelay = std::chrono::milliseconds(100);

// Wall-clock milliseconds at start, so that a later run of the daemon on the same host has a higher incarnation. If the
// clock is set back between two runs, the peers tell the new run, which then raises its incarnation.
Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()));
}

// From SIGTERM until all requests must have been answered.
Duration timeToAnswer(const RegistrySettings& registry)
{
    return std::max<Duration>(registry.stopGrace - forcedStopMargin - answerMargin, Duration::zero());
}

void applySpill(const RegistrySettings& registry, DispatchLimits& limits)
{
    limits.chooser.costPerMegabyteWithinRegion = registry.linkCostWithinRegion;
    limits.chooser.costPerMegabyteBetweenRegions = registry.linkCostBetweenRegions;
    limits.chooser.roundTripWithinRegion = registry.roundTripWithinRegion;
    limits.chooser.roundTripBetweenRegions = registry.roundTripBetweenRegions;
    if (registry.spill)
        limits.spill.emplace();
}

std::size_t descriptorLimitOfProcess()
{
    rlimit limit {};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isKnown ? static_cast<std::size_t>(limit.rlim_cur) : unknownDescriptorLimit;
}

CallerShares callerSharesIn(const Settings& settings)
{
    const auto descriptors = settings.descriptorLimit.value_or(descriptorLimitOfProcess());
    auto shares = callerSharesOf({ settings.memoryLimit, descriptors });
    shares.memory = settings.callerMemory.value_or(shares.memory);
    shares.connections = settings.maxCallerConnections.value_or(shares.connections);
    return shares;
}

} // namespace

Daemon::Daemon(const Settings& settings, PlatformAdapter adapter, std::string settingsPath)
    : m_settings(settings)
    , m_settingsAtStart(settings)
    , m_adapter(std::move(adapter))
    , m_settingsPath(std::move(settingsPath))
    , m_incarnation(newIncarnation())
    , m_metrics(m_registry)
    , m_control(settings, m_incarnation, m_adapter, m_metrics,
          { [this](SnapshotPointer snapshot) {
               for (auto& thread : m_traffic)
                   thread->post([snapshot](TrafficThread& target) { target.apply(snapshot); });
           },
              [this](const LeaseTerm& term) {
                  for (auto& thread : m_traffic)
                      thread->post([term](TrafficThread& target) { target.renewLease(term); });
              },
              [this] { beginDrain(); }, [this] { stopNow(); }, [this] { return m_registry.toPrometheusText(); },
              [this] { return requestsRunning(); },
              [this](const ProbeTarget& target, const HealthReport& report) { reportHealth(target, report); },
              [this](const std::vector<PoolLoadSummary>& loads) { observeLoads(loads); },
              [this](EventLine line) { m_events.add(std::move(line), monotonicNow()); }, explainHook() })
    , m_signals(m_control.io(), SIGTERM, SIGINT)
    , m_reloads(m_control.io(), SIGHUP)
    , m_stopTimer(m_control.io())
{
    m_metrics.measuringBytesBudget.set(settings.measuringBytesPerSecond.count());
    m_metrics.measuringCallsBudget.set(settings.measuringCallsPerSecond.count());
}

int Daemon::run()
{
    startTraffic();
    const auto admin = m_control.listen();
    m_control.start(m_settings.advertisedPeerAddress.value_or(m_settings.peerAddress));
    std::cout << "listening caller=" << toString(m_settings.callerAddress)
              << " peer=" << toString(m_settings.peerAddress) << " admin=" << toString(admin) << std::endl;
    EventLine line(EventKind::Lifecycle, "started");
    line.add("member", m_settings.member.value()).add("dataCentre", m_settings.dataCentre.value());
    line.add("incarnation", m_incarnation.value()).add("registry", m_settings.registry.has_value());
    logLifecycle(std::move(line));
    waitForSignal();
    waitForReloadSignal();
    spawnPermanent(m_control.io().get_executor(), [this] { return writeEvents(); });
    m_control.run();
    logLifecycle(EventLine(EventKind::Lifecycle, "stopped"));
    m_events.flush(STDOUT_FILENO);
    for (auto& thread : m_traffic)
        thread->stop();
    for (auto& thread : m_traffic)
        thread->join();
    return m_exitStatus;
}

TrafficThread::Options Daemon::trafficOptions(std::uint32_t index)
{
    TrafficThread::Options options;
    options.index = index;
    options.member = m_settings.member;
    options.dataCentre = m_settings.dataCentre;
    options.callerAddress = m_settings.callerAddress;
    options.peerAddress = m_settings.peerAddress;
    options.callerLimits.headerBytes = m_settings.maxHeaderBytes;
    options.callerLimits.bodyBytes = m_settings.maxBodyBytes;
    options.callerLimits.headerTimeout = m_settings.slowSenderTimeout;
    options.callerLimits.headerFields = m_settings.maxHeaderFields;
    options.callerLimits.requestsAhead = m_settings.maxRequestsAhead;
    options.callerLimits.leastBytesPerSecond = m_settings.leastCallerBytesPerSecond;
    options.callerShares = shareOfThread(callerSharesIn(m_settings), m_settings.trafficThreads);
    options.traceSampling = m_settings.traceSampling;
    options.seed = std::random_device {}();
    options.postToShard = [this](const PoolId& pool, std::function<void(PoolShard&)> task) {
        auto& owner = *m_traffic[std::hash<PoolId> {}(pool) % m_traffic.size()];
        owner.post([task = std::move(task)](TrafficThread& thread) { task(thread.shard()); });
    };
    options.spans = [this](Span span) {
        asio::post(m_control.io(), [this, span = std::move(span)]() mutable { m_control.addSpan(std::move(span)); });
    };
    options.reportSilentMember = [this](const MemberId& member) {
        asio::post(m_control.io(), [this, member] { m_control.reportSilentMember(member); });
    };
    options.reportPause = [this] { asio::post(m_control.io(), [this] { m_control.reportPause(); }); };
    options.trafficThreads = m_settings.trafficThreads;
    options.pingsPerSecond = splitMeasuringLimits(
        { m_settings.measuringCallsPerSecond, m_settings.measuringBytesPerSecond }, m_settings.trafficThreads)
                                 .pingsPerSecond;
    options.shareLoads = [this](std::vector<PoolLoadSummary> loads) { shareLoads(std::move(loads)); };
    if (m_settings.registry) {
        DispatchLimits limits;
        limits.chooser.memberKey = stableHash(m_settings.member.value());
        limits.retries = m_settings.registry->retries;
        limits.probesPerEndpointAndSecond = m_settings.registry->healthCallsPerEndpoint;
        limits.trafficThreads = m_settings.trafficThreads;
        limits.warmUp.overage = m_settings.registry->warmUpOverage;
        limits.warmUp.slack = m_settings.registry->warmUpSlack;
        limits.warmUp.thread = index;
        limits.warmUp.threads = m_settings.trafficThreads;
        applySpill(*m_settings.registry, limits);
        options.dispatch = DispatchRunner::Options { limits, *m_adapter.codec,
            [this, index](const EndpointWithdrawal& withdrawal) { shareWithdrawal(index, withdrawal); } };
        options.drainGrace = std::min(m_settings.registry->drainGrace, timeToAnswer(*m_settings.registry));
    }
    options.answerGossip = [this](std::string request) {
        using Answer = tl::expected<std::optional<std::string>, std::string>;
        return callOn<Answer>(
            m_control.io(), [this, request = std::move(request)] { return m_control.answerGossip(request); });
    };
    return options;
}

void Daemon::startTraffic()
{
    for (std::uint32_t n = 0; n < m_settings.trafficThreads; ++n) {
        m_traffic.push_back(std::make_unique<TrafficThread>(trafficOptions(n), m_metrics, m_events));
        const auto bound = m_traffic.back()->listen();
        m_settings.callerAddress = bound.caller;
        m_settings.peerAddress = bound.peer;
    }
    TicketLimits limits;
    limits.memory = m_settings.ticketBytes;
    m_ticketLedger = std::make_unique<SharedTicketLedger>(
        m_traffic.front()->io(), TicketLedger(m_settings.member, m_incarnation, limits), std::random_device {}());
    for (auto& thread : m_traffic)
        thread->setTicketLedger(*m_ticketLedger);
    for (auto& thread : m_traffic)
        thread->start();
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code ec, int) {
        if (ec)
            return;
        if (m_isDraining)
            DOGWOODHALL_LOG(daemon, warning) << "Still draining; waiting for " << requestsRunning() << " requests.";
        beginDrain();
        waitForSignal();
    });
}

void Daemon::waitForReloadSignal()
{
    m_reloads.async_wait([this](boost::system::error_code ec, int) {
        if (ec)
            return;
        reload();
        waitForReloadSignal();
    });
}

// Only the log settings take effect at once; all others need a restart. An invalid file changes nothing.
void Daemon::reload()
{
    EventLine line(EventKind::Lifecycle, "reloaded");
    const auto text = readFile(m_settingsPath);
    const auto settings = text ? parseSettings(*text, m_settingsPath) : tl::unexpected(Problems {});
    if (!settings) {
        const auto reason = text ? toString(settings.error()) : text.error();
        DOGWOODHALL_LOG(daemon, error) << "Settings not reloaded: " << reason << ".";
        line.add("accepted", false).add("reason", reason);
    } else {
        startLogging(std::clog, settings->log);
        m_settings.log = settings->log;
        auto applied = m_settingsAtStart;
        applied.log = settings->log;
        line.add("accepted", true).add("needsRestart", !(*settings == applied));
    }
    logLifecycle(std::move(line));
}

asio::awaitable<void> Daemon::writeEvents()
{
    asio::steady_timer timer(m_control.io());
    while (true) {
        m_events.flush(STDOUT_FILENO);
        m_metrics.logLinesDropped.set(m_events.dropped());
        timer.expires_after(eventWritePeriod);
        co_await timer.async_wait(useTuple);
    }
}

void Daemon::logLifecycle(EventLine line) { m_events.add(std::move(line), monotonicNow()); }

// The platform kills the process after the grace period. Requests that cannot finish by then get an answer of the
// process's own; those whose responses have begun are aborted, with a log line and a distinct exit status.
std::optional<StopSchedule> Daemon::scheduleStop()
{
    if (!m_settings.registry)
        return std::nullopt;
    const TimePoint now = monotonicNow();
    const auto& registry = *m_settings.registry;
    const TimePoint answerBy = now + timeToAnswer(registry);
    endRequestsAt(answerBy + answerMargin - endRequestsMargin);
    return StopSchedule { now + std::min(registry.drainGrace, registry.stopGrace / 2), answerBy };
}

void Daemon::endRequestsAt(TimePoint time)
{
    m_stopTimer.expires_at(toSteadyClock(time));
    m_stopTimer.async_wait([this, time](boost::system::error_code ec) {
        if (ec)
            return;
        for (auto& thread : m_traffic) {
            thread->post([this](TrafficThread& target) {
                target.endRequests(
                    endRequestsMargin, [this] { asio::post(m_control.io(), [this] { threadEndedRequests(); }); });
            });
        }
        forceStopAt(time + endRequestsMargin + maxForcedStopDelay);
    });
}

void Daemon::threadEndedRequests()
{
    if (++m_threadsWithoutRequests == m_traffic.size())
        stopNow();
}

void Daemon::forceStopAt(TimePoint time)
{
    m_stopTimer.expires_at(toSteadyClock(time));
    m_stopTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            stopNow();
    });
}

void Daemon::beginDrain()
{
    if (std::exchange(m_isDraining, true))
        return;
    EventLine line(EventKind::Lifecycle, "draining");
    line.add("requests", std::uint64_t(requestsRunning()));
    logLifecycle(std::move(line));
    const auto schedule = scheduleStop();
    DOGWOODHALL_LOG(daemon, info) << "Draining; " << requestsRunning() << " requests in flight.";
    m_control.setDraining();
    for (auto& thread : m_traffic) {
        thread->post([this, schedule](TrafficThread& target) {
            target.drain(schedule, [this] { asio::post(m_control.io(), [this] { threadDrained(); }); });
        });
    }
}

void Daemon::threadDrained()
{
    if (++m_drainedThreads < m_traffic.size())
        return;
    DOGWOODHALL_LOG(daemon, info) << "Drained.";
    m_control.stop();
}

void Daemon::stopNow()
{
    DOGWOODHALL_LOG(daemon, warning) << "Forced stop; " << requestsRunning() << " requests are aborted.";
    m_exitStatus = forcedStopStatus;
    m_control.stop();
}

void Daemon::shareLoads(std::vector<PoolLoadSummary> loads)
{
    if (loads.empty())
        return;
    observeLoads(loads);
    asio::post(m_control.io(), [this, loads = std::move(loads)] { m_control.setOwnLoads(loads); });
}

void Daemon::observeLoads(const std::vector<PoolLoadSummary>& loads)
{
    for (auto& thread : m_traffic)
        thread->post([loads](TrafficThread& target) { target.observeLoads(loads); });
}

void Daemon::shareWithdrawal(std::uint32_t fromThread, const EndpointWithdrawal& withdrawal)
{
    for (std::uint32_t n = 0; n < m_traffic.size(); ++n) {
        if (n != fromThread)
            m_traffic[n]->post([withdrawal](TrafficThread& target) { target.apply(withdrawal); });
    }
}

void Daemon::reportHealth(const ProbeTarget& target, const HealthReport& report)
{
    auto& owner = *m_traffic[std::hash<PoolId> {}(target.pool) % m_traffic.size()];
    owner.post([target, report](TrafficThread& thread) { thread.shard().observeHealth(target, report); });
}

// Each traffic thread has its own beliefs about endpoints; the first one stands for all.
OperatorServer::Explain Daemon::explainHook()
{
    if (!m_settings.registry)
        return {};
    return [this](WhereQuery query) {
        auto& thread = *m_traffic.front();
        return callOn<PlacementExplanation>(thread.io(), [&thread, query = std::move(query)] {
            const RouteQuery route { query.hostName, query.path, query.method };
            return thread.path().explain(route, query.timeLeft);
        });
    };
}

std::size_t Daemon::requestsRunning() const
{
    std::size_t running = 0;
    for (const auto& thread : m_traffic)
        running += thread->requestsRunning();
    return running;
}

} // namespace dogwoodhall
