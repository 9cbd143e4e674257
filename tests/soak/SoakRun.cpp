#include "SoakRun.h"

#include "dogwoodhall/daemon/Clock.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <filesystem>
#include <future>
#include <limits>
#include <thread>
#include <utility>

namespace dogwoodhall::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds linkDelay { 150 };
// stopGraceMs of the settings, within which a stopping daemon exits.
constexpr Duration shutdownGracePeriod = std::chrono::seconds(6);
constexpr Duration exitPollInterval = milliseconds(100);
// Minimum time for which a draining endpoint still serves requests.
constexpr Duration drainingServiceTime = std::chrono::seconds(4);
// An idle daemon uses about 12 MB; connections of clients, endpoints and peers add to it.
#ifdef SOAK_IGNORES_RESIDENT_MEMORY
constexpr std::size_t maxResidentKilobytes = std::numeric_limits<std::size_t>::max();
#else
constexpr std::size_t maxResidentKilobytes = 64 * 1024;
#endif
constexpr std::size_t maxThreads = 8;
constexpr std::size_t maxDescriptors = 400;
constexpr Duration maxDrainDelay = std::chrono::seconds(2);
constexpr milliseconds storeAbsence { 600 }; // Before it comes back from a copy.
constexpr milliseconds lateWrites { 1000 };
constexpr std::size_t lostChanges = 50; // At least; more than the writers make again.

} // namespace

SoakRun::SoakRun(SoakOptions options)
    : m_options(std::move(options))
    , m_work(boost::asio::make_work_guard(m_io))
    , m_eventLoopThread([this] { m_io.run(); })
    , m_cluster(m_io, m_options.limits.daemons, m_options.limits.endpoints)
    , m_clients(m_io, m_ledger, m_options.seed, m_options.maxPauseMs)
{
}

SoakRun::~SoakRun()
{
    m_io.stop();
    m_eventLoopThread.join();
}

SoakReport SoakRun::run()
{
    const auto faults = makeScenario(m_options.seed, m_options.selection, m_options.limits);
    const TimePoint start = monotonicNow();
    runOnEventLoop([&] {
        for (std::size_t n = 0; n < m_cluster.daemons().size(); ++n)
            m_clients.setTarget(n, { m_cluster.daemons()[n].callerAddress, m_cluster.daemons()[n].incarnation });
        m_clients.start(m_options.clients);
    });
    for (const auto& fault : faults)
        scheduleAt(start + fault.at, [this, fault] { injectFault(fault); });
    runTasksUntil(start + m_options.limits.length - m_options.limits.faultFreeTail);
    // Some faults have not ended yet, such as a stop that waits for pending requests.
    const TimePoint faultsEndedAt = m_tasks.empty() ? monotonicNow() : m_tasks.rbegin()->first;
    runTasksUntil(std::max(start + m_options.limits.length, faultsEndedAt + m_options.limits.faultFreeTail));
    runOnEventLoop([&] { m_ledger.setFaultsEndedAt(faultsEndedAt); });
    stopClients();
    checkResources();
    for (const auto& [endpoint, dataCentre] : m_cluster.endpointDataCentres())
        m_ledger.addEndpoint(endpoint, dataCentre);
    m_ledger.setAllowedDataCentre(SoakCluster::dataCentreOf(0));
    for (const auto& [id, endpoint] : m_cluster.executions())
        m_ledger.addExecution(id, endpoint);
    for (const auto& [id, at] : m_cluster.arrivals())
        m_ledger.addArrival(id, at);
    const auto violations = m_ledger.findViolations();
    m_report.violations.insert(m_report.violations.end(), violations.begin(), violations.end());
    m_report.calls = m_ledger.calls();
    m_report.served = m_ledger.served();
    return m_report;
}

void SoakRun::runTasksUntil(TimePoint end)
{
    while (monotonicNow() < end) {
        const auto next = m_tasks.begin();
        const TimePoint due = next == m_tasks.end() ? end : std::min(end, next->first);
        std::this_thread::sleep_until(toSteadyClock(due));
        if (next == m_tasks.end() || next->first > monotonicNow())
            continue;
        const auto task = std::move(next->second);
        m_tasks.erase(next);
        task();
    }
}

void SoakRun::injectFault(const Fault& fault)
{
    switch (fault.kind) {
    case FaultKind::KillDaemon:
    case FaultKind::PauseDaemon:
    case FaultKind::StopDaemon:
    case FaultKind::ReloadDaemon:
    case FaultKind::StoreLink:
        injectDaemonFault(fault);
        return;
    case FaultKind::EndpointLink:
    case FaultKind::EndpointFault:
    case FaultKind::KillEndpoint:
    case FaultKind::ReplaceEndpoint:
    case FaultKind::CoolEndpoint:
        injectEndpointFault(fault);
        return;
    case FaultKind::StoreDown:
    case FaultKind::StoreBusy:
    case FaultKind::CompactStore:
    case FaultKind::StaleStoreReads:
        injectStoreFault(fault);
        return;
    case FaultKind::Evacuate:
        evacuate(fault);
        return;
    case FaultKind::RestoreStore:
        copyStore(fault);
        return;
    case FaultKind::KillManyDaemons:
    case FaultKind::StarveDaemons:
    case FaultKind::RefuseDaemons:
    case FaultKind::TurnAwayDaemons:
    case FaultKind::FaultManyEndpoints:
        injectFleetFault(fault);
        return;
    case FaultKind::ChangeRouting:
        break;
    }
    ++m_report.faults[toString(fault.kind)];
    changeRouting();
}

void SoakRun::changeRouting()
{
    const auto version = m_cluster.publishRouting();
    const TimePoint now = monotonicNow();
    runOnEventLoop([&] {
        m_ledger.addPublishedVersion(version, now);
        m_clients.setRoutingVersion(version);
    });
}

void SoakRun::injectDaemonFault(const Fault& fault)
{
    auto& daemon = m_cluster.daemons()[fault.target];
    const bool isLinkFault = fault.kind == FaultKind::StoreLink;
    if (!isLinkFault && m_busyDaemons.contains(fault.target))
        return;
    ++m_report.faults[toString(fault.kind)];
    const TimePoint end = monotonicNow() + fault.duration;
    const std::size_t n = fault.target;
    switch (fault.kind) {
    case FaultKind::KillDaemon:
        m_busyDaemons.insert(n);
        recordFaultWindow(n, false, fault.duration + std::chrono::seconds(1));
        daemon.process->kill();
        scheduleAt(end, [this, n] { restartDaemon(n); });
        break;
    case FaultKind::PauseDaemon:
        m_busyDaemons.insert(n);
        recordFaultWindow(n, false, fault.duration);
        daemon.process->signal(SIGSTOP);
        scheduleAt(end, [this, n] {
            m_cluster.daemons()[n].process->signal(SIGCONT);
            m_busyDaemons.erase(n);
        });
        break;
    case FaultKind::StopDaemon:
        m_busyDaemons.insert(n);
        daemon.process->signal(SIGTERM);
        pollForExit(n, monotonicNow());
        break;
    case FaultKind::ReloadDaemon:
        daemon.process->signal(SIGHUP);
        break;
    default:
        recordFaultWindow(n, true, fault.duration);
        runOnEventLoop([&] { daemon.storeProxy->setFault(fault.link, linkDelay); });
        scheduleAt(
            end, [this, n] { runOnEventLoop([&] { m_cluster.daemons()[n].storeProxy->setFault(LinkFault::None); }); });
    }
}

void SoakRun::injectEndpointFault(const Fault& fault)
{
    const std::size_t n = fault.target;
    if (m_busyEndpoints.contains(n))
        return;
    ++m_report.faults[toString(fault.kind)];
    m_busyEndpoints.insert(n);
    const TimePoint end = monotonicNow() + fault.duration;
    switch (fault.kind) {
    case FaultKind::ReplaceEndpoint:
        replaceEndpoint(fault);
        return;
    case FaultKind::CoolEndpoint:
        m_cluster.setMode(n, "delay_ms=20&warmup_ms=" + std::to_string(fault.duration / milliseconds(1)));
        scheduleAt(end, [this, n] {
            const auto requests = m_cluster.busiestColdSecond(n);
            m_cluster.setMode(n, "delay_ms=20");
            m_busyEndpoints.erase(n);
            runOnEventLoop([&] { m_ledger.addColdPeak(m_cluster.endpoints()[n].id, requests); });
        });
        return;
    case FaultKind::KillEndpoint:
        recordFaultWindow(std::nullopt, false, fault.duration);
        m_cluster.endpoints()[n].process->kill();
        m_cluster.registerEndpoint(n, "");
        scheduleAt(end, [this, n] {
            m_cluster.startEndpoint(n);
            m_busyEndpoints.erase(n);
        });
        return;
    case FaultKind::EndpointFault:
        recordFaultWindow(std::nullopt, false, fault.duration);
        m_cluster.setMode(n, fault.mode);
        scheduleAt(end, [this, n] {
            m_cluster.setMode(n, "delay_ms=20");
            m_busyEndpoints.erase(n);
        });
        return;
    default:
        recordFaultWindow(std::nullopt, false, fault.duration);
        runOnEventLoop([&] { m_cluster.endpoints()[n].proxy->setFault(fault.link, linkDelay); });
        scheduleAt(end, [this, n] {
            runOnEventLoop([&] { m_cluster.endpoints()[n].proxy->setFault(LinkFault::None); });
            m_busyEndpoints.erase(n);
        });
    }
}

// The draining endpoint still serves requests, so that those wrongly sent to it are recorded.
void SoakRun::replaceEndpoint(const Fault& fault)
{
    const std::size_t n = fault.target;
    m_cluster.registerEndpoint(n, "draining");
    const TimePoint now = monotonicNow();
    runOnEventLoop([&] { m_ledger.addDrainingEndpoint(m_cluster.endpoints()[n].id, now); });
    scheduleAt(now + maxDrainDelay, [this, n] { m_cluster.registerEndpoint(n, ""); });
    scheduleAt(now + std::max(fault.duration, drainingServiceTime), [this, n] {
        m_cluster.startEndpoint(n);
        m_busyEndpoints.erase(n);
    });
}

void SoakRun::injectStoreFault(const Fault& fault)
{
    ++m_report.faults[toString(fault.kind)];
    if (fault.kind == FaultKind::StaleStoreReads) {
        // Excuses nothing: only the checks of waiting watches use such reads.
        m_cluster.setStaleReads(true);
        scheduleAt(monotonicNow() + fault.duration, [this] { m_cluster.setStaleReads(false); });
        return;
    }
    recordFaultWindow(std::nullopt, true, fault.duration);
    if (fault.kind == FaultKind::CompactStore) {
        m_cluster.compactStore();
        return;
    }
    m_cluster.setStoreMode(fault.kind == FaultKind::StoreDown ? "down" : "busy");
    scheduleAt(monotonicNow() + fault.duration, [this] { m_cluster.setStoreMode("serving"); });
}

void SoakRun::copyStore(const Fault& fault)
{
    if (m_isRestoring)
        return;
    ++m_report.faults[toString(fault.kind)];
    m_isRestoring = true;
    m_cluster.copyStore();
    m_cluster.writeOtherKeys(lostChanges);
    changeRouting();
    scheduleAt(monotonicNow() + fault.duration, [this, fault] { restoreStore(fault); });
}

// The operator and the endpoints write again while the store is away, as it returns, or some time after.
void SoakRun::restoreStore(const Fault& fault)
{
    const Duration absence = storeAbsence;
    const Duration delays[] = { absence / 2, absence, absence + lateWrites };
    const Duration writeDelay = delays[fault.target % std::size(delays)];
    const TimePoint now = monotonicNow();
    recordFaultWindow(std::nullopt, true, std::max(absence, writeDelay));
    m_cluster.setStoreMode("down");
    m_cluster.restoreStore();
    scheduleAt(now + absence, [this] { m_cluster.setStoreMode("serving"); });
    scheduleAt(now + writeDelay, [this] {
        m_cluster.writeAllAgain();
        changeRouting();
        m_isRestoring = false;
    });
}

void SoakRun::evacuate(const Fault& fault)
{
    if (m_isEvacuating)
        return;
    ++m_report.faults[toString(fault.kind)];
    m_isEvacuating = true;
    const auto dataCentre = SoakCluster::dataCentreOf(fault.target);
    m_cluster.setEvacuated(dataCentre, true);
    const TimePoint begin = monotonicNow();
    scheduleAt(begin + fault.duration, [this, dataCentre, begin] {
        const TimePoint end = monotonicNow();
        m_cluster.setEvacuated(dataCentre, false);
        m_isEvacuating = false;
        runOnEventLoop([&] { m_ledger.addEvacuation({ dataCentre, begin, end }); });
    });
}

void SoakRun::pollForExit(std::size_t daemon, TimePoint since)
{
    auto& process = *m_cluster.daemons()[daemon].process;
    if (process.waitForExit(milliseconds(0))) {
        restartDaemon(daemon);
        return;
    }
    if (monotonicNow() - since > shutdownGracePeriod + std::chrono::seconds(1)) {
        m_report.violations.push_back(
            { "stops end", m_cluster.daemons()[daemon].name + " did not exit within its stop grace period" });
        process.kill();
        restartDaemon(daemon);
        return;
    }
    scheduleAt(monotonicNow() + exitPollInterval, [this, daemon, since] { pollForExit(daemon, since); });
}

void SoakRun::restartDaemon(std::size_t n)
{
    m_cluster.startDaemon(n);
    m_busyDaemons.erase(n);
    const auto& daemon = m_cluster.daemons()[n];
    runOnEventLoop([&] { m_clients.setTarget(n, { daemon.callerAddress, daemon.incarnation }); });
}

void SoakRun::recordFaultWindow(
    std::optional<std::size_t> daemon, bool isStoreFault, Duration duration, bool delaysChanges)
{
    const TimePoint now = monotonicNow();
    runOnEventLoop([&] { m_ledger.addFaultWindow({ now, now + duration, daemon, isStoreFault, delaysChanges }); });
}

void SoakRun::runOnEventLoop(const std::function<void()>& task)
{
    std::promise<void> done;
    boost::asio::post(m_io, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void SoakRun::stopClients()
{
    std::promise<void> ended;
    boost::asio::post(m_io, [&] { m_clients.stop([&] { ended.set_value(); }); });
    ended.get_future().wait();
}

SoakRun::ResourceUsage SoakRun::resourceUsageOf(const Process& process)
{
    namespace fs = std::filesystem;
    const fs::path folder = "/proc/" + std::to_string(process.id());
    const auto count = [&](const char* name) {
        return static_cast<std::size_t>(std::distance(fs::directory_iterator(folder / name), fs::directory_iterator()));
    };
    return { process.residentKilobytes(), count("fd"), count("task") };
}

void SoakRun::checkResources()
{
    for (const auto& daemon : m_cluster.daemons()) {
        if (!daemon.process->isRunning()) {
            m_report.violations.push_back({ "daemons run", daemon.name + " exited unexpectedly" });
            continue;
        }
        const auto used = resourceUsageOf(*daemon.process);
        if (used.kilobytes > maxResidentKilobytes || used.descriptors > maxDescriptors || used.threads > maxThreads)
            m_report.violations.push_back({ "resources",
                daemon.name + " uses " + std::to_string(used.kilobytes) + " KB of resident memory, "
                    + std::to_string(used.descriptors) + " file descriptors, " + std::to_string(used.threads)
                    + " threads" });
    }
}

} // namespace dogwoodhall::soak
