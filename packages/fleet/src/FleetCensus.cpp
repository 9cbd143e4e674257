#include "dogwoodhall/fleet/FleetCensus.h"

#include <algorithm>
#include <set>

namespace dogwoodhall {

FleetCensus::FleetCensus(CensusLimits limits, TimePoint startedAt)
    : m_limits(limits)
    , m_stableSince(startedAt)
{
}

void FleetCensus::observe(std::span<const Member* const> others, TimePoint now)
{
    for (auto& [id, entry] : m_others) {
        if (!entry.goneSince)
            entry.goneSince = now;
    }
    for (const auto* member : others) {
        const bool isGone = member->state == MemberState::Gone;
        const auto known = m_others.find(member->id);
        if (known == m_others.end()) {
            m_others.emplace(member->id, Entry { member->dataCentre, isGone ? std::optional(now) : std::nullopt });
            m_stableSince = now;
        } else if (!isGone) {
            known->second = { member->dataCentre, std::nullopt };
        }
    }
    forgetGoneMembers(now);
    m_size = estimate();
}

void FleetCensus::forgetGoneMembers(TimePoint now)
{
    const auto gone = static_cast<std::size_t>(std::count_if(
        m_others.begin(), m_others.end(), [](const auto& item) { return item.second.goneSince.has_value(); }));
    const std::size_t known = m_others.size() + 1;
    if (2 * gone >= known)
        return;
    std::erase_if(m_others,
        [&](const auto& item) { return item.second.goneSince && now - *item.second.goneSince > m_limits.memory; });
}

std::size_t FleetCensus::estimate() const
{
    const std::size_t known = m_others.size() + 1;
    if (!m_limits.hasSeeds)
        return known;
    std::set<DataCentreId> dataCentres { m_limits.dataCentre };
    for (const auto& [id, entry] : m_others)
        dataCentres.insert(entry.dataCentre);
    const std::size_t seen = dataCentres.size();
    const std::size_t all = std::max(m_limits.dataCentres, seen);
    return (known * all + seen - 1) / seen;
}

std::optional<TimePoint> FleetCensus::stableSince() const
{
    if (m_limits.hasSeeds && m_others.empty())
        return std::nullopt;
    return m_stableSince;
}

} // namespace dogwoodhall
