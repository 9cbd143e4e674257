#include "dogwoodhall/routing/PoolChooser.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

bool takesWork(const PoolState& state) { return state.isReachable && state.expectedWait != Duration::max(); }

} // namespace

PoolChooser::PoolChooser(TopologyDeclaration topology, DataCentreId own, SpillLimits limits)
    : m_topology(std::move(topology))
    , m_own(std::move(own))
    , m_ownRegion(regionOf(m_own))
    , m_limits(limits)
{
}

std::optional<PoolChoice> PoolChooser::choose(
    const std::vector<PoolState>& states, ByteCount expectedBytes, LinkBudget& link, DecisionContext context) const
{
    const auto own
        = std::find_if(states.begin(), states.end(), [&](const PoolState& state) { return state.dataCentre == m_own; });
    const bool ownTakesWork = own != states.end() && takesWork(*own);
    const Duration bound = ownTakesWork ? own->expectedWait - m_limits.leastGain : Duration::max();

    std::optional<PoolChoice> best;
    if (bound > Duration::zero())
        best = pickBetter(states, false, bound, context.random);
    if (!best && bound > Duration::zero()) {
        best = pickBetter(states, true, bound, context.random);
        if (best && !link.tryTake(expectedBytes, context.now))
            best.reset();
    }
    if (!best && ownTakesWork)
        return PoolChoice { m_own, false };
    return best;
}

std::optional<RegionId> PoolChooser::regionOf(const DataCentreId& id) const
{
    for (const auto& dataCentre : m_topology.dataCentres) {
        if (dataCentre.id == id)
            return dataCentre.region;
    }
    return std::nullopt;
}

// A data centre that the topology does not name counts as one of another region.
std::optional<PoolChoice> PoolChooser::pickBetter(
    const std::vector<PoolState>& states, bool isOtherRegion, Duration bound, RandomEngine& random) const
{
    const Duration roundTrip = 2 * (isOtherRegion ? m_topology.delayBetweenRegions : m_topology.delayWithinRegion);
    std::optional<PoolChoice> picked;
    std::size_t better = 0;
    for (const auto& state : states) {
        if (state.dataCentre == m_own || !takesWork(state))
            continue;
        const auto region = regionOf(state.dataCentre);
        const bool isElsewhere = !region || region != m_ownRegion;
        if (isElsewhere != isOtherRegion || state.expectedWait >= bound - roundTrip)
            continue;
        if (std::uniform_int_distribution<std::size_t>(0, better++)(random) == 0)
            picked = PoolChoice { state.dataCentre, isOtherRegion };
    }
    return picked;
}

} // namespace dogwoodhall
