#include "dogwoodhall/routing/PoolChooser.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

bool acceptsWork(const PoolState& state) { return state.isReachable && state.expectedWait != Duration::max(); }

// The pool has endpoints, but no capacity.
bool isCapacityRefusal(ErrorKind kind)
{
    return kind == ErrorKind::QueueFull || kind == ErrorKind::DeadlineUnreachable || kind == ErrorKind::UpstreamRefused;
}

// The pool has no endpoint or home that accepts connections.
bool isUnavailable(ErrorKind kind)
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
    , m_ownDataCentre(std::move(own))
    , m_ownRegion(m_topology.regionOf(m_ownDataCentre))
    , m_limits(limits)
{
}

std::optional<PoolChoice> PoolChooser::choose(
    const std::vector<PoolState>& states, ByteCount expectedBytes, LinkBudget& link, DecisionContext context)
{
    const PoolState* own = ownState(states);
    Duration maxWaitInRegion = Duration::max();
    Duration maxWaitAcrossRegions = Duration::max();
    if (own) {
        maxWaitInRegion = own->expectedWait - m_limits.minGain - 2 * m_topology.delayWithinRegion;
        maxWaitAcrossRegions = own->expectedWait - m_limits.minGain - 2 * m_topology.delayBetweenRegions;
    }
    const auto elsewhere
        = chooseElsewhere(states, {}, maxWaitInRegion, maxWaitAcrossRegions, expectedBytes, link, context);
    return !elsewhere && own ? PoolChoice { m_ownDataCentre, false } : elsewhere;
}

std::optional<PoolChoice> PoolChooser::chooseAfterRefusal(const std::vector<PoolState>& states,
    const std::vector<PoolRefusal>& refusals, ByteCount expectedBytes, LinkBudget& link, DecisionContext context)
{
    const auto maxWait = maxWaitAfter(refusals, states);
    if (!maxWait)
        return std::nullopt;
    const PoolState* own = ownState(states);
    if (own && own->expectedWait <= *maxWait && !hasRefused(refusals, m_ownDataCentre))
        return PoolChoice { m_ownDataCentre, false };
    return chooseElsewhere(states, refusals, *maxWait, *maxWait, expectedBytes, link, context);
}

std::optional<Duration> PoolChooser::maxWaitAfter(const Refusals& refusals, const std::vector<PoolState>& states) const
{
    if (refusals.size() >= m_limits.maxPools)
        return std::nullopt;
    Duration longest = Duration::max();
    std::size_t full = 0;
    for (const auto& refusal : refusals) {
        if (isUnavailable(refusal.kind))
            continue;
        if (!isCapacityRefusal(refusal.kind) || ++full >= m_limits.maxFullPools)
            return std::nullopt;
        for (const auto& state : states) {
            if (state.dataCentre == refusal.dataCentre && acceptsWork(state))
                longest = std::min(longest, state.expectedWait / 2);
        }
    }
    return longest;
}

const PoolState* PoolChooser::ownState(const std::vector<PoolState>& states) const
{
    const auto own = std::find_if(states.begin(), states.end(),
        [&](const PoolState& state) { return state.dataCentre == m_ownDataCentre && acceptsWork(state); });
    return own == states.end() ? nullptr : &*own;
}

std::optional<PoolChoice> PoolChooser::chooseElsewhere(const std::vector<PoolState>& states, const Refusals& refusals,
    Duration maxWaitInRegion, Duration maxWaitAcrossRegions, ByteCount expectedBytes, LinkBudget& link,
    DecisionContext context)
{
    if (maxWaitInRegion < Duration::zero())
        return std::nullopt;
    if (const auto inRegion = pick(states, refusals, false, maxWaitInRegion, Duration::max(), context.random))
        return inRegion;
    if (maxWaitAcrossRegions < Duration::zero())
        return std::nullopt;
    // If no pool in the region accepts work, stale state is better than none.
    const bool hasChoice = maxWaitAcrossRegions != Duration::max();
    auto picked = pick(states, refusals, true, maxWaitAcrossRegions, hasChoice ? m_limits.maxWaitAge : Duration::max(),
        context.random);
    const bool isTrialDue = !m_lastTrial || context.now - *m_lastTrial >= m_limits.trialPeriod;
    const bool isTrial = !picked && isTrialDue;
    if (isTrial)
        picked = pick(states, refusals, true, maxWaitAcrossRegions, Duration::max(), context.random);
    if (!picked || !link.tryTake(expectedBytes, context.now))
        return std::nullopt;
    if (isTrial)
        m_lastTrial = context.now;
    return picked;
}

std::optional<PoolChoice> PoolChooser::pick(const std::vector<PoolState>& states, const Refusals& refusals,
    bool inOtherRegion, Duration maxWait, Duration maxAge, RandomEngine& random) const
{
    std::optional<PoolChoice> picked;
    std::size_t suitable = 0;
    for (const auto& state : states) {
        if (state.dataCentre == m_ownDataCentre || !acceptsWork(state) || hasRefused(refusals, state.dataCentre))
            continue;
        if (isOtherRegion(state.dataCentre) != inOtherRegion || state.expectedWait > maxWait || state.age > maxAge)
            continue;
        if (std::uniform_int_distribution<std::size_t>(0, suitable++)(random) == 0)
            picked = PoolChoice { state.dataCentre, inOtherRegion };
    }
    return picked;
}

std::optional<PoolChoice> PoolChooser::chooseNearest(
    const std::vector<PoolState>& states, ByteCount expectedBytes, LinkBudget& link, TimePoint now) const
{
    const auto own = std::find_if(
        states.begin(), states.end(), [&](const PoolState& state) { return state.dataCentre == m_ownDataCentre; });
    const auto regional = std::find_if(
        states.begin(), states.end(), [&](const PoolState& state) { return !isOtherRegion(state.dataCentre); });
    const auto& nearest = own != states.end() ? own : regional;
    if (nearest != states.end())
        return PoolChoice { nearest->dataCentre, false };
    if (states.empty() || !link.tryTake(expectedBytes, now))
        return std::nullopt;
    return PoolChoice { states.front().dataCentre, true };
}

bool PoolChooser::isOtherRegion(const DataCentreId& dataCentre) const
{
    if (dataCentre == m_ownDataCentre)
        return false;
    const auto region = m_topology.regionOf(dataCentre);
    return !region || region != m_ownRegion;
}

} // namespace dogwoodhall
