#include "dogwoodhall/dispatch/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

PlacementExplanation refused(PlacementExplanation explanation, ErrorKind kind)
{
    explanation.decision = RefuseRequest { kind, Outcome::NotRun, std::nullopt };
    return explanation;
}

// The choice of the decision itself may stem from a confirmed report.
bool isByOldReport(const PlacementExplanation& explanation)
{
    const auto* sent = std::get_if<SendRequest>(&explanation.decision);
    const auto* refusal = std::get_if<RefuseRequest>(&explanation.decision);
    const auto* best = sent ? &sent->choice : refusal && refusal->best ? &*refusal->best : nullptr;
    return best
        && std::any_of(explanation.endpoints.begin(), explanation.endpoints.end(),
            [&](const ExplainedEndpoint& it) { return it.id == best->endpoint && it.choice && !it.choice->isFresh; });
}

std::vector<EndpointId> idsOf(const ProbeCandidates& candidates)
{
    std::vector<EndpointId> ids;
    for (const auto* group : { &candidates.due, &candidates.usual }) {
        for (const auto& endpoint : *group)
            ids.push_back(endpoint.registration->id);
    }
    return ids;
}

// Records that the endpoints answered probes as they did before.
void confirmReports(EndpointTracker& tracker, const std::vector<EndpointId>& endpoints, TimePoint now)
{
    for (const auto& id : endpoints) {
        const auto* state = tracker.find(id);
        const auto status = state->reportsUnhealthy ? HealthStatus::Unhealthy : HealthStatus::Healthy;
        tracker.recordProbeResponse(id, tracker.currentLoad(id), status, now);
    }
}

} // namespace

PlacementExplanation Dispatcher::explain(const RouteQuery& query, std::optional<Duration> timeLeft, TimePoint now) const
{
    PlacementExplanation explanation;
    if (!m_directory)
        return refused(std::move(explanation), ErrorKind::NotReady);
    explanation.version = m_directory->version();
    const auto* route = m_directory->route(query);
    if (!route)
        return refused(std::move(explanation), ErrorKind::NoRoute);
    explanation.route = route->id;
    explanation.parts = route->parts;
    explanation.service = m_trafficSplit.peek(*route);
    const auto* service = m_directory->service(*explanation.service);
    if (!service)
        return refused(std::move(explanation), ErrorKind::NoEndpoint);
    auto plan = makePlan(*route, *service, timeLeft, now);
    if (!plan)
        return refused(std::move(explanation), plan.error());
    followLatestRoute(*plan);
    explainEndpoints(*plan, explanation, now);
    explainPlacement(*plan, explanation, now);
    return explanation;
}

void Dispatcher::explainEndpoints(const RequestPlan& plan, PlacementExplanation& explanation, TimePoint now) const
{
    for (const auto& endpoint : plan.m_query.service->endpoints) {
        const auto& registration = *endpoint.registration;
        ExplainedEndpoint explained;
        explained.id = registration.id;
        explained.address = registration.address;
        explained.dataCentre = registration.dataCentre;
        explained.distance = endpoint.distance;
        explained.exclusion = m_eligibility.exclusionOf(plan.m_query, endpoint, now);
        if (explained.exclusion == Exclusion::None)
            explained.choice = m_chooser.judge(plan.m_query, endpoint, now);
        const auto* state = m_tracker.find(registration.id);
        explained.hasReport = state && state->report;
        explanation.endpoints.push_back(std::move(explained));
    }
}

// All candidates of a round confirm their reports, not only those that a request would draw, so that the result is the
// same each time.
void Dispatcher::explainPlacement(RequestPlan& plan, PlacementExplanation& explanation, TimePoint now) const
{
    RandomEngine random { 1 };
    const DecisionContext context { now, random };
    auto tracker = m_tracker.copyFor(*plan.m_query.service);
    EndpointEligibility eligibility(tracker, m_warmUp);
    eligibility.apply(m_directory);
    const EndpointChooser chooser(tracker, eligibility, m_times, m_limits.chooser);
    auto probeBudget = *m_probeBudget;
    auto spill = m_spill ? std::optional(m_spill->copyFor(plan.service())) : std::nullopt;
    const PlacementState state { tracker, eligibility, chooser, probeBudget, spill ? &*spill : nullptr };
    auto action = place(plan, state, context);
    while (const auto* probe = std::get_if<ProbeEndpoints>(&action)) {
        const Distance distance = probe->endpoints.front().distance;
        auto candidates = idsOf(chooser.subset(plan.m_query, distance, now));
        confirmReports(tracker, candidates, now);
        explanation.probes.push_back({ distance, probe->endpoints.size(), std::move(candidates) });
        action = place(plan, state, context);
    }
    explanation.farthest = plan.m_probedDistance;
    if (spill) {
        explanation.leaving = ExplainedLeaving { spill->leavingShare(plan.service(), Distance::SameRegion, now),
            spill->leavingShare(plan.service(), Distance::OtherRegion, now) };
        if (!explanation.farthest)
            explanation.farthest = farthestWorthUsing(plan, state, now);
    }
    if (auto* sent = std::get_if<SendRequest>(&action))
        explanation.decision = std::move(*sent);
    else
        explanation.decision = std::move(std::get<RefuseRequest>(action));
    explanation.isByOldReport = isByOldReport(explanation);
}

} // namespace dogwoodhall
