#include "dogwoodhall/daemon/homes/LoadTable.h"

namespace dogwoodhall {

void LoadTable::observe(const PoolId& pool, Duration expectedWait, TimePoint measuredAt)
{
    auto [it, isNew] = m_loads.try_emplace(pool, Load { expectedWait, measuredAt });
    if (!isNew && it->second.measuredAt <= measuredAt)
        it->second = { expectedWait, measuredAt };
}

void LoadTable::observe(const std::vector<PoolLoadSummary>& loads, TimePoint now)
{
    for (const auto& load : loads)
        observe(load.pool, load.expectedWait, now - load.age);
}

std::optional<LoadTable::Load> LoadTable::find(const PoolId& pool) const
{
    auto it = m_loads.find(pool);
    if (it == m_loads.end())
        return std::nullopt;
    return it->second;
}

} // namespace dogwoodhall
