// The part of SoakRun that disturbs many daemons or endpoints at once.
#include "SoakRun.h"

#include "dogwoodhall/daemon/Clock.h"

#include <csignal>

namespace dogwoodhall::soak {

namespace {

using std::chrono::milliseconds;

// Long enough that a daemon misses the deadline of a probe, and short enough that it is not taken for paused.
constexpr milliseconds stoppedTurn { 400 };
constexpr milliseconds runningTurn { 100 };

} // namespace

void SoakRun::injectFleetFault(const Fault& fault)
{
    ++m_report.faults[toString(fault.kind)];
    switch (fault.kind) {
    case FaultKind::KillManyDaemons:
        killManyDaemons(fault);
        return;
    case FaultKind::StarveDaemons:
        starveDaemons(fault);
        return;
    case FaultKind::RefuseDaemons:
        refuseDaemons(fault);
        return;
    case FaultKind::TurnAwayDaemons:
        turnAwayDaemons(fault);
        return;
    default:
        faultManyEndpoints(fault);
    }
}

void SoakRun::killManyDaemons(const Fault& fault)
{
    const TimePoint end = monotonicNow() + fault.duration;
    std::vector<std::size_t> killed;
    for (std::size_t n = 0; n < m_cluster.daemons().size(); ++n) {
        if ((n + fault.target) % 5 < 3 && m_busyDaemons.insert(n).second)
            killed.push_back(n);
    }
    for (const auto n : killed)
        recordFaultWindow(n, false, fault.duration + std::chrono::seconds(1));
    for (const auto n : killed)
        m_cluster.daemons()[n].process->kill();
    for (const auto n : killed)
        scheduleAt(end, [this, n] { restartDaemon(n); });
}

// Starvation interrupts requests, and changes must come into force all the same.
void SoakRun::starveDaemons(const Fault& fault)
{
    const TimePoint end = monotonicNow() + fault.duration;
    for (std::size_t n = fault.target % 3; n < m_cluster.daemons().size(); n += 3) {
        if (!m_busyDaemons.insert(n).second)
            continue;
        recordFaultWindow(n, false, fault.duration, false);
        starve(n, false, end);
    }
}

void SoakRun::starve(std::size_t daemon, bool runs, TimePoint end)
{
    const bool isOver = monotonicNow() >= end;
    m_cluster.daemons()[daemon].process->signal(runs || isOver ? SIGCONT : SIGSTOP);
    if (isOver) {
        m_busyDaemons.erase(daemon);
        return;
    }
    scheduleAt(
        monotonicNow() + (runs ? runningTurn : stoppedTurn), [this, daemon, runs, end] { starve(daemon, !runs, end); });
}

std::vector<std::size_t> SoakRun::thirdOfDaemons(const Fault& fault) const
{
    std::vector<std::size_t> daemons;
    for (std::size_t n = fault.target % 3; n < m_options.limits.daemons; n += 3)
        daemons.push_back(n);
    return daemons;
}

void SoakRun::setStoreLinks(const std::vector<std::size_t>& daemons, LinkFault link)
{
    runOnEventLoop([&] {
        for (const auto n : daemons)
            m_cluster.daemons()[n].storeProxy->setFault(link);
    });
}

void SoakRun::refuseDaemons(const Fault& fault)
{
    const TimePoint end = monotonicNow() + fault.duration;
    const auto refused = thirdOfDaemons(fault);
    for (const auto n : refused)
        recordFaultWindow(n, true, fault.duration);
    setStoreLinks(refused, LinkFault::Reset);
    scheduleAt(end, [this, refused] { setStoreLinks(refused, LinkFault::None); });
}

// The others tell them of changes in time, so that this excuses nothing.
void SoakRun::turnAwayDaemons(const Fault& fault)
{
    const auto refused = thirdOfDaemons(fault);
    setStoreLinks(refused, LinkFault::TurnedAway);
    scheduleAt(monotonicNow() + fault.duration, [this, refused] { setStoreLinks(refused, LinkFault::None); });
}

void SoakRun::faultManyEndpoints(const Fault& fault)
{
    recordFaultWindow(std::nullopt, false, fault.duration);
    const TimePoint end = monotonicNow() + fault.duration;
    for (std::size_t n = fault.target % 2; n < m_cluster.endpoints().size(); n += 2) {
        if (!m_busyEndpoints.insert(n).second)
            continue;
        m_cluster.setMode(n, fault.mode);
        scheduleAt(end, [this, n] {
            m_cluster.setMode(n, "delay_ms=20");
            m_busyEndpoints.erase(n);
        });
    }
}

} // namespace dogwoodhall::soak
