#include "dogwoodhall/routing/PoolChooser.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

bool takesWork(const PoolState& state) { return state.isReachable && state.expectedWait != Duration::max(); }

// The pool has endpoints, but no room.
bool isForLackOfRoom(ErrorKind kind)
{
    return kind == ErrorKind::QueueFull || kind == ErrorKind::DeadlineUnreachable || kind == ErrorKind::UpstreamRefused;
}

// The pool has no endpoint or home that accepts connections.
bool isForLackOfEndpoints(ErrorKind kind)
{
    return kind == ErrorKind::NoEndpoint || kind == ErrorKind::UpstreamFailed || kind == ErrorKind::PeerFailed;
}

bool hasRefused(const std::vector<PoolRefusal>& refusals, const DataCentreId& dataCentre)
{
    return std::any_of(
        refusals.begin(), refusals.end(), [&](const PoolRefusal& refusal) { return refusal.dataCentre == dataCentre; });
}

} // namespace

PoolChooser::PoolChooser(TopologyDeclaration topology, DataCentreId own, SpillLimits limits)
    : m_topology(std::move(topology))
    , m_own(std::move(own))
    , m_ownRegion(m_topology.regionOf(m_own))
    , m_limits(limits)
{
}

std::optional<PoolChoice> PoolChooser::choose(
    const std::vector<PoolState>& states, ByteCount expectedBytes, LinkBudget& link, DecisionContext context)
{
    const PoolState* own = ownState(states);
    Duration within = Duration::max();
    Duration across = Duration::max();
    if (own) {
        within = own->expectedWait - m_limits.leastGain - 2 * m_topology.delayWithinRegion;
        across = own->expectedWait - m_limits.leastGain - 2 * m_topology.delayBetweenRegions;
    }
    const auto elsewhere = chooseElsewhere(states, {}, within, across, expectedBytes, link, context);
    return !elsewhere && own ? PoolChoice { m_own, false } : elsewhere;
}

std::optional<PoolChoice> PoolChooser::chooseAfterRefusal(const std::vector<PoolState>& states,
    const std::vector<PoolRefusal>& refusals, ByteCount expectedBytes, LinkBudget& link, DecisionContext context)
{
    const auto longestWait = longestWaitAfter(refusals, states);
    if (!longestWait)
        return std::nullopt;
    const PoolState* own = ownState(states);
    if (own && own->expectedWait <= *longestWait && !hasRefused(refusals, m_own))
        return PoolChoice { m_own, false };
    return chooseElsewhere(states, refusals, *longestWait, *longestWait, expectedBytes, link, context);
}

std::optional<Duration> PoolChooser::longestWaitAfter(
    const Refusals& refusals, const std::vector<PoolState>& states) const
{
    if (refusals.size() >= m_limits.mostPools)
        return std::nullopt;
    Duration longest = Duration::max();
    std::size_t full = 0;
    for (const auto& refusal : refusals) {
        if (isForLackOfEndpoints(refusal.kind))
            continue;
        if (!isForLackOfRoom(refusal.kind) || ++full >= m_limits.mostFullPools)
            return std::nullopt;
        for (const auto& state : states) {
            if (state.dataCentre == refusal.dataCentre && takesWork(state))
                longest = std::min(longest, state.expectedWait / 2);
        }
    }
    return longest;
}

const PoolState* PoolChooser::ownState(const std::vector<PoolState>& states) const
{
    const auto own = std::find_if(states.begin(), states.end(),
        [&](const PoolState& state) { return state.dataCentre == m_own && takesWork(state); });
    return own == states.end() ? nullptr : &*own;
}

std::optional<PoolChoice> PoolChooser::chooseElsewhere(const std::vector<PoolState>& states, const Refusals& refusals,
    Duration within, Duration across, ByteCount expectedBytes, LinkBudget& link, DecisionContext context)
{
    if (within < Duration::zero())
        return std::nullopt;
    if (const auto inRegion = pick(states, refusals, false, within, Duration::max(), context.random))
        return inRegion;
    if (across < Duration::zero())
        return std::nullopt;
    // Where nothing takes work nearby, stale knowledge is better than none.
    const bool hasChoice = across != Duration::max();
    auto picked = pick(states, refusals, true, across, hasChoice ? m_limits.freshFor : Duration::max(), context.random);
    const bool mayTry = !m_lastTrial || context.now - *m_lastTrial >= m_limits.trialPeriod;
    const bool isTrial = !picked && mayTry;
    if (isTrial)
        picked = pick(states, refusals, true, across, Duration::max(), context.random);
    if (!picked || !link.tryTake(expectedBytes, context.now))
        return std::nullopt;
    if (isTrial)
        m_lastTrial = context.now;
    return picked;
}

std::optional<PoolChoice> PoolChooser::pick(const std::vector<PoolState>& states, const Refusals& refusals,
    bool inOtherRegion, Duration longestWait, Duration oldest, RandomEngine& random) const
{
    std::optional<PoolChoice> picked;
    std::size_t suitable = 0;
    for (const auto& state : states) {
        if (state.dataCentre == m_own || !takesWork(state) || hasRefused(refusals, state.dataCentre))
            continue;
        if (isOtherRegion(state.dataCentre) != inOtherRegion || state.expectedWait > longestWait || state.age > oldest)
            continue;
        if (std::uniform_int_distribution<std::size_t>(0, suitable++)(random) == 0)
            picked = PoolChoice { state.dataCentre, inOtherRegion };
    }
    return picked;
}

std::optional<PoolChoice> PoolChooser::chooseNearest(
    const std::vector<PoolState>& states, ByteCount expectedBytes, LinkBudget& link, TimePoint now) const
{
    const auto own
        = std::find_if(states.begin(), states.end(), [&](const PoolState& state) { return state.dataCentre == m_own; });
    const auto near = std::find_if(
        states.begin(), states.end(), [&](const PoolState& state) { return !isOtherRegion(state.dataCentre); });
    const auto& nearest = own != states.end() ? own : near;
    if (nearest != states.end())
        return PoolChoice { nearest->dataCentre, false };
    if (states.empty() || !link.tryTake(expectedBytes, now))
        return std::nullopt;
    return PoolChoice { states.front().dataCentre, true };
}

bool PoolChooser::isOtherRegion(const DataCentreId& dataCentre) const
{
    if (dataCentre == m_own)
        return false;
    const auto region = m_topology.regionOf(dataCentre);
    return !region || region != m_ownRegion;
}

} // namespace dogwoodhall
