#include "dogwoodhall/dispatch/Dispatcher.h"

#include <algorithm>

namespace dogwoodhall {

RequestAction Dispatcher::placeBySpill(RequestPlan& plan, const PlacementState& state, DecisionContext context) const
{
    recordProbedRoom(plan, state, context.now);
    std::optional<EndpointChoice> choice;
    if (plan.m_probedDistance)
        choice = state.chooser.best(plan.m_query, *plan.m_probedDistance, context.now);
    if (!isSuitable(choice)) {
        if (auto probe = probeRound(plan, choice, state, context))
            return *std::move(probe);
    }
    if (!plan.m_probedDistance)
        choice = state.chooser.best(plan.m_query, farthestWorthUsing(plan, state, context.now), context.now);
    return decide(plan, std::move(choice), state, context);
}

// Without probes, for which the budget may be spent, a request goes no farther than its response is worth.
Distance Dispatcher::farthestWorthUsing(const RequestPlan& plan, const PlacementState& state, TimePoint now) const
{
    const auto query = spillQuery(plan, std::nullopt, SpillScope::AllDistances, state, now);
    auto farthest = query.home;
    for (const auto distance : { Distance::SameRegion, Distance::OtherRegion }) {
        if (query.offers[static_cast<std::size_t>(distance)].value > 0)
            farthest = std::max(farthest, distance);
    }
    return farthest;
}

// Endpoints that did not respond tell nothing about room: the tracker judges them.
void Dispatcher::recordProbedRoom(RequestPlan& plan, const PlacementState& state, TimePoint now) const
{
    for (; plan.m_probedAndRecorded < plan.m_probed.size(); ++plan.m_probedAndRecorded) {
        const auto& endpoint = plan.m_probed[plan.m_probedAndRecorded];
        const auto* known = state.tracker.find(endpoint.registration->id);
        if (!known || !known->report || known->reportedAt < plan.m_roundStartedAt)
            continue;
        const auto& report = *known->report;
        const bool hasRoom = report.waiting == SlotCount(0)
            && report.running < m_times.bestConcurrency(plan.service(), report.slots) && !isSlowed(report);
        state.spill->recordRoom(plan.service(), endpoint.distance, hasRoom, now);
    }
}

ProbeCandidates Dispatcher::unprobed(
    const RequestPlan& plan, Distance distance, const PlacementState& state, TimePoint now) const
{
    auto candidates = state.chooser.subset(plan.m_query, distance, now);
    const auto isProbed = [&](const DirectoryEndpoint& endpoint) {
        return std::any_of(plan.m_probed.begin(), plan.m_probed.end(),
            [&](const DirectoryEndpoint& it) { return it.registration->id == endpoint.registration->id; });
    };
    std::erase_if(candidates.due, isProbed);
    std::erase_if(candidates.usual, isProbed);
    return candidates;
}

SpillQuery Dispatcher::spillQuery(const RequestPlan& plan, const std::optional<EndpointChoice>& choice,
    SpillScope scope, const PlacementState& state, TimePoint now) const
{
    SpillQuery query;
    query.service = plan.service();
    query.valueAtHand = choice && choice->isFresh && choice->hasRoom ? std::max(choice->value, 0.0) : 0;
    query.isRepeat = plan.isRepeat();
    query.isFirstRound = plan.m_probed.empty();
    query.maxProbed = state.chooser.maxProbed();
    bool hasCloser = false;
    for (const auto distance : { Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion }) {
        auto& offer = query.offers[static_cast<std::size_t>(distance)];
        const auto eligible = state.chooser.subsetSize(plan.m_query, distance, now);
        const auto probed = std::count_if(plan.m_probed.begin(), plan.m_probed.end(),
            [&](const DirectoryEndpoint& it) { return it.distance == distance; });
        // A second round between regions would hold the caller for too long.
        const bool mayProbe = distance != Distance::OtherRegion || probed == 0;
        offer.candidates = mayProbe ? eligible - std::min(eligible, static_cast<std::size_t>(probed)) : 0;
        // Where nothing closer may be used, the cost of the links does not keep callers from being served.
        const auto costs = hasCloser ? LinkCosts::Counted : LinkCosts::Ignored;
        offer.value = state.chooser.valueWhenIdle(plan.m_query, distance, costs, now);
        offer.probeBytesCost = hasCloser ? state.chooser.probeBytesCost(distance) : 0;
        if (!hasCloser && eligible > 0)
            query.home = distance;
        hasCloser |= eligible > 0;
        if (hasCloser && scope == SpillScope::Home)
            break;
    }
    return query;
}

std::optional<ProbeEndpoints> Dispatcher::probeRound(RequestPlan& plan, const std::optional<EndpointChoice>& choice,
    const PlacementState& state, DecisionContext context) const
{
    const double probesLeft = state.probeBudget.filled(context.now);
    const bool startsAtHome = plan.m_probed.empty() && state.spill->startsAtHome(plan.service(), probesLeft);
    auto query
        = spillQuery(plan, choice, startsAtHome ? SpillScope::Home : SpillScope::AllDistances, state, context.now);
    query.probesLeft = probesLeft;
    state.spill->update(query, context.now);
    const auto round = state.spill->nextRound(query, context);
    if (!round)
        return std::nullopt;
    auto endpoints = state.chooser.pick(unprobed(plan, round->distance, state, context.now), round->count, context);
    if (endpoints.empty() || !state.probeBudget.tryTake(CallCount(endpoints.size()), context.now))
        return std::nullopt;
    plan.m_probedDistance = std::max(plan.m_probedDistance.value_or(round->distance), round->distance);
    plan.m_probed.insert(plan.m_probed.end(), endpoints.begin(), endpoints.end());
    plan.m_roundStartedAt = context.now;
    plan.m_endpointsProbed += endpoints.size();
    return ProbeEndpoints { std::move(endpoints), plan.m_query.service->declaration.healthPath,
        probeTimeout(round->distance) };
}

} // namespace dogwoodhall
