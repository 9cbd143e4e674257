#include "dogwoodhall/daemon/homes/PoolDirectory.h"

#include <utility>

namespace dogwoodhall {

namespace {

// Estimated size of a response before it is known. Corrected by recordBytes().
constexpr ByteCount shortAnswerBytes { 16 * 1024 };
constexpr ByteCount longAnswerBytes { 4'000'000 };
// The link budget's burst, sufficient for one long response at the default rate.
constexpr Duration linkBurst = std::chrono::seconds(1);

ByteCount estimateFor(WorkClass workClass) { return workClass == WorkClass::Long ? longAnswerBytes : shortAnswerBytes; }

} // namespace

PoolDirectory::PoolDirectory(TrafficServices& services, Fraction linkShare)
    : m_services(services)
    , m_linkShare(linkShare)
    , m_snapshot(std::make_shared<Snapshot>())
    , m_chooser({}, services.dataCentre)
    , m_links(TopologyDeclaration {}.linkBytesPerSecond, linkBurst, monotonicNow())
{
}

void PoolDirectory::apply(SnapshotPointer snapshot)
{
    const bool hasNewTopology = snapshot->topology != m_snapshot->topology;
    m_snapshot = std::move(snapshot);
    if (hasNewTopology)
        m_chooser = PoolChooser(m_snapshot->topology, m_services.dataCentre);
    const double rate = static_cast<double>(m_snapshot->topology.linkBytesPerSecond.count()) * m_linkShare.value();
    m_links.setRate(ByteCount(static_cast<std::uint64_t>(rate)), monotonicNow());
}

std::vector<PoolState> PoolDirectory::statesOf(const ServiceId& service, TimePoint now) const
{
    std::vector<PoolState> states;
    auto it = m_snapshot->poolsOf.find(service);
    if (it == m_snapshot->poolsOf.end())
        return states;
    for (const auto& pool : it->second) {
        PoolState state { pool.dataCentre, {}, pool.isReachable, {} };
        if (auto load = m_loads.find({ service, pool.dataCentre })) {
            state.expectedWait = load->expectedWait;
            state.age = now - load->measuredAt;
        }
        states.push_back(state);
    }
    return states;
}

std::optional<PoolId> PoolDirectory::choose(const ServiceId& service, WorkClass workClass)
{
    const TimePoint now = monotonicNow();
    auto states = statesOf(service, now);
    auto pool = toPool(service, m_chooser.choose(states, estimateFor(workClass), m_links, { now, m_services.random }));
    if (pool)
        return pool;
    // No pool has a reachable home, or the link budget is exhausted: place by the slot counts of this process alone.
    const auto nearest = m_chooser.chooseNearest(states, estimateFor(workClass), m_links, now);
    return nearest ? std::make_optional(PoolId { service, nearest->dataCentre }) : std::nullopt;
}

std::optional<PoolId> PoolDirectory::chooseAfterRefusal(
    const ServiceId& service, const std::vector<PoolRefusal>& refusals, WorkClass workClass)
{
    const TimePoint now = monotonicNow();
    const auto states = statesOf(service, now);
    return toPool(service,
        m_chooser.chooseAfterRefusal(states, refusals, estimateFor(workClass), m_links, { now, m_services.random }));
}

std::optional<PoolId> PoolDirectory::toPool(const ServiceId& service, const std::optional<PoolChoice>& choice)
{
    if (!choice)
        return std::nullopt;
    if (choice->dataCentre != m_services.dataCentre)
        m_services.metrics.spilled.add();
    return PoolId { service, choice->dataCentre };
}

void PoolDirectory::recordBytes(const PoolId& pool, WorkClass workClass, ByteCount bytes)
{
    const ByteCount estimate = estimateFor(workClass);
    if (m_chooser.isOtherRegion(pool.dataCentre) && bytes > estimate)
        m_links.charge(bytes - estimate, monotonicNow());
}

} // namespace dogwoodhall
