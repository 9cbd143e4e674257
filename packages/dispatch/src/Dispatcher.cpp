#include "dogwoodhall/dispatch/Dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dogwoodhall {

namespace {

// Share of the permitted probe rate that is used. The rest is left for members that this one does not know of yet.
constexpr double probeRateShare = 0.75;
// Burst of probes after an idle period, in seconds of the rate; a demand peak lasts about as long.
constexpr double probeBurstSeconds = 5;
// Minimum time for an attempt: one round trip plus processing at both ends.
constexpr Duration minAttemptTime = std::chrono::milliseconds(5);
// The time that callers state on first attempts to one route varies by up to a sixth.
constexpr double firstAttemptVariation = 0.2;

constexpr std::array distances { Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion };

// To callers of this path these statuses promise that the request has not run and never will.
bool promisesNotRun(ErrorKind kind)
{
    const auto status = answerFor(kind).status;
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

Dispatcher::Dispatcher(DispatchLimits limits)
    : m_limits(std::move(limits))
    , m_warmUp(m_limits.warmUp)
    , m_eligibility(m_tracker, m_warmUp)
    , m_chooser(m_tracker, m_eligibility, m_times, m_limits.chooser)
{
    if (m_limits.spill)
        m_spill.emplace(*m_limits.spill);
}

void Dispatcher::apply(std::shared_ptr<const Directory> directory, const FleetView& fleet, TimePoint now)
{
    m_directory = std::move(directory);
    m_members = fleet.size();
    m_retryShare = { fleet.largestSize * m_limits.trafficThreads, fleet.stableSince };
    m_tracker.apply(*m_directory, now);
    m_warmUp.apply(fleet, now);
    m_eligibility.apply(m_directory);
    if (m_spill)
        m_spill->apply(*m_directory);
    updateProbeRate(now);
    for (auto& [service, retries] : m_retries)
        retries.setSlackShare(m_retryShare);
}

void Dispatcher::updateProbeRate(TimePoint now)
{
    const double rate = probeRateShare * m_limits.probesPerEndpointAndSecond
        * static_cast<double>(m_directory->endpointCount()) / static_cast<double>(m_members * m_limits.trafficThreads);
    const auto perSecond = static_cast<std::uint64_t>(std::max(rate, 1.0));
    const CallCount capacity(static_cast<std::uint64_t>(std::max(rate * probeBurstSeconds, 1.0)));
    if (m_probeBudget)
        m_probeBudget->setRate(CallCount(perSecond), capacity, now);
    else
        m_probeBudget.emplace(CallCount(perSecond), capacity);
}

RetryAllowance& Dispatcher::retriesOf(const ServiceId& service)
{
    const auto [it, isNew] = m_retries.try_emplace(service, m_limits.retries);
    if (isNew)
        it->second.setSlackShare(m_retryShare);
    return it->second;
}

RetryAllowance::Balance Dispatcher::retryBalance(const ServiceId& service, TimePoint now) const
{
    const auto it = m_retries.find(service);
    return it == m_retries.end() ? RetryAllowance::Balance {} : it->second.balance(now);
}

double Dispatcher::retriesLeft(TimePoint now)
{
    double left = 0;
    for (auto& [service, retries] : m_retries)
        left += std::max(retries.available(now), 0.0);
    return left;
}

tl::expected<RequestPlan, ErrorKind> Dispatcher::admit(
    const RouteQuery& query, std::optional<Duration> timeLeft, TimePoint now)
{
    if (!m_directory)
        return tl::unexpected(ErrorKind::NotReady);
    const auto* route = m_directory->route(query);
    if (!route)
        return tl::unexpected(ErrorKind::NoRoute);
    const auto* service = m_directory->service(m_trafficSplit.next(*route));
    if (!service)
        return tl::unexpected(ErrorKind::NoEndpoint);
    if (timeLeft) {
        auto& maxTimeLeft = m_maxTimeLeft[route->id];
        maxTimeLeft = std::max(maxTimeLeft, *timeLeft);
    }
    auto plan = makePlan(*route, *service, timeLeft, now);
    if (plan)
        retriesOf(plan->service()).requestArrived(now);
    return plan;
}

tl::expected<RequestPlan, ErrorKind> Dispatcher::makePlan(const RouteDeclaration& route,
    const DirectoryService& service, std::optional<Duration> timeLeft, TimePoint now) const
{
    RequestPlan plan;
    plan.m_directory = m_directory;
    plan.m_receivedAt = now;
    plan.m_query.route = &route;
    plan.m_query.service = &service;
    plan.m_elapsedAtCaller = elapsedAtCaller(route, timeLeft);
    plan.m_isRepeat = plan.m_elapsedAtCaller > Duration::zero();
    plan.m_query.goalDeadline = now + route.latencyGoal - plan.m_elapsedAtCaller;
    plan.m_query.deadline = now + std::min(route.timeout, timeLeft.value_or(route.timeout));
    if (!applyStop(plan, now))
        return tl::unexpected(ErrorKind::Draining);
    return plan;
}

// Another member can serve the callers of the requests that are refused here at once.
bool Dispatcher::applyStop(RequestPlan& plan, TimePoint now) const
{
    if (!m_stop || plan.m_query.deadline <= m_stop->answerBy)
        return true;
    if (now > m_stop->openEndedUntil || m_stop->answerBy - now < plan.route().latencyGoal)
        return false;
    plan.m_query.deadline = m_stop->answerBy;
    return true;
}

// Callers state their remaining time. The longest seen on a route is taken as that of a first attempt; a time shorter
// by more than first attempts vary indicates a retry by the caller.
Duration Dispatcher::elapsedAtCaller(const RouteDeclaration& route, std::optional<Duration> timeLeft) const
{
    const auto it = m_maxTimeLeft.find(route.id);
    if (!timeLeft || it == m_maxTimeLeft.end())
        return Duration::zero();
    const Duration elapsed = it->second - *timeLeft;
    return elapsed > scaled(it->second, firstAttemptVariation) ? elapsed : Duration::zero();
}

void Dispatcher::followLatestRoute(RequestPlan& plan) const
{
    plan.m_query.latestRoute = m_directory->route(plan.m_query.route->id);
}

RequestAction Dispatcher::next(RequestPlan& plan, DecisionContext context)
{
    followLatestRoute(plan);
    if (auto refusal = refuseAfterFailure(plan, context))
        return *refusal;
    return place(plan, placementState(), context);
}

RequestAction Dispatcher::place(RequestPlan& plan, const PlacementState& state, DecisionContext context) const
{
    if (plan.m_query.deadline - context.now < minAttemptTime)
        return refuse(plan, ErrorKind::DeadlineExceeded, context);
    if (!plan.m_metWarmUpLimit && state.tracker.mayHaveColdEndpoints(context.now))
        plan.m_metWarmUpLimit = state.eligibility.meetsWarmUpLimit(plan.m_query, context.now);
    if (state.spill)
        return placeBySpill(plan, state, context);
    std::optional<EndpointChoice> choice;
    if (plan.m_probedDistance)
        choice = state.chooser.best(plan.m_query, *plan.m_probedDistance, context.now);
    const bool isSuitable = this->isSuitable(choice);
    for (const auto distance : distances) {
        const bool isProbed = plan.m_probedDistance && distance <= *plan.m_probedDistance;
        if (isSuitable || isProbed || !state.chooser.isWorthProbing(plan.m_query, distance, choice, context.now))
            continue;
        plan.m_probedDistance = distance;
        if (auto probe = probeEndpoints(plan, distance, state, context))
            return *probe;
        choice = state.chooser.best(plan.m_query, distance, context.now);
    }
    return decide(plan, std::move(choice), state, context);
}

bool Dispatcher::isSuitable(const std::optional<EndpointChoice>& choice) const
{
    return choice && choice->isFresh && choice->hasRoom
        && (choice->chance >= m_limits.sufficientChance || choice->isDueForWarmUp);
}

RequestAction Dispatcher::decide(
    RequestPlan& plan, std::optional<EndpointChoice> choice, const PlacementState& state, DecisionContext context) const
{
    if (!choice) {
        auto refusal = refuse(plan, ErrorKind::NoEndpoint, context);
        refusal.exclusions = state.eligibility.countExclusions(plan.m_query, context.now);
        return refusal;
    }
    if (!choice->hasRoom)
        return refuse(plan, ErrorKind::QueueFull, context, choice);
    // A request that misses its goal even at an idle endpoint gains nothing from a later attempt.
    const bool canStillBeInTime = !plan.m_isRepeat && plan.m_sends == 0
        && plan.m_query.goalDeadline - context.now > expectedWhenIdle(plan) + minAttemptTime;
    if (choice->chance < m_limits.minChance && canStillBeInTime)
        return refuse(plan, ErrorKind::DeadlineUnreachable, context, choice);
    return send(plan, *std::move(choice), context.now);
}

std::optional<ProbeEndpoints> Dispatcher::probeEndpoints(
    RequestPlan& plan, Distance distance, const PlacementState& state, DecisionContext context) const
{
    auto endpoints = state.chooser.selectForProbing(plan.m_query, distance, context);
    if (endpoints.empty() || !state.probeBudget.tryTake(CallCount(endpoints.size()), context.now))
        return std::nullopt;
    plan.m_endpointsProbed += endpoints.size();
    return ProbeEndpoints { std::move(endpoints), plan.m_query.service->declaration.healthPath,
        probeTimeout(distance) };
}

Duration Dispatcher::probeTimeout(Distance distance) const
{
    switch (distance) {
    case Distance::SameDataCentre:
        return m_limits.probeTimeoutSameDataCentre;
    case Distance::SameRegion:
        return m_limits.probeTimeoutSameRegion;
    case Distance::OtherRegion:
        break;
    }
    return m_limits.probeTimeoutOtherRegion;
}

SendRequest Dispatcher::send(const RequestPlan& plan, EndpointChoice choice, TimePoint now) const
{
    SendRequest action { std::move(choice), plan.m_query.deadline - now, std::nullopt };
    const Duration goal = plan.m_query.goalDeadline - plan.m_receivedAt;
    const bool mayHedge = plan.route().isIdempotent && plan.m_bodyCanBeReplayed
        && plan.m_sends - plan.m_provenNotRun + 1 < plan.route().maxAttempts;
    if (mayHedge && goal > Duration::zero()) {
        const TimePoint due = plan.m_receivedAt + scaled(goal, m_limits.hedgeDelayShareOfGoal);
        action.hedgeAfter = std::max<Duration>(due - now, minAttemptTime);
    }
    return action;
}

RefuseRequest Dispatcher::refuse(
    const RequestPlan& plan, ErrorKind kind, DecisionContext context, std::optional<EndpointChoice> best) const
{
    const Outcome outcome = plan.outcome();
    // The error kinds that invite a retry guarantee that the request has not run.
    if (outcome == Outcome::Unknown && kind != ErrorKind::DeadlineExceeded)
        return { ErrorKind::UpstreamFailed, outcome, std::nullopt, std::move(best) };
    if (kind == ErrorKind::DeadlineExceeded && outcome == Outcome::NotRun)
        kind = ErrorKind::DeadlineUnreachable;
    const auto wait = outcome == Outcome::NotRun ? retryAfter(plan, context) : std::nullopt;
    return { kind, outcome, wait, std::move(best) };
}

std::optional<Duration> Dispatcher::retryAfter(const RequestPlan& plan, DecisionContext context) const
{
    RefusalQuery query;
    query.goalLeft = plan.m_query.goalDeadline - context.now;
    query.timeLeft = plan.m_query.deadline - context.now;
    query.expected = expectedWhenIdle(plan);
    query.notBefore = m_eligibility.restLeft(plan.m_query, context.now).value_or(Duration::zero());
    return m_limits.retryAfter(query, context.random);
}

Duration Dispatcher::expectedWhenIdle(const RequestPlan& plan) const
{
    LoadReport idle;
    idle.slots = SlotCount(2);
    return m_times.expected(plan.route().id, plan.service(), idle, plan.route().latencyGoal);
}

bool Dispatcher::mayRepeat(const RequestPlan& plan, TimePoint now) const
{
    const bool isSafe = plan.route().isIdempotent || plan.outcome() == Outcome::NotRun;
    const bool hasAttempt = plan.m_sends - plan.m_provenNotRun < plan.route().maxAttempts;
    return isSafe && hasAttempt && plan.m_bodyCanBeReplayed && plan.m_query.deadline - now >= minAttemptTime;
}

bool Dispatcher::mayRepeatServerError(RequestPlan& plan, TimePoint now)
{
    return plan.route().isIdempotent && mayRepeat(plan, now) && retriesOf(plan.service()).available(now) >= 1;
}

std::optional<RefuseRequest> Dispatcher::refuseAfterFailure(RequestPlan& plan, DecisionContext context)
{
    const TimePoint now = context.now;
    const auto failure = std::exchange(plan.m_failure, std::nullopt);
    if (!failure)
        return std::nullopt;
    const bool isWithinRetryBudget = !failure->reachedEndpoint || retriesOf(plan.service()).tryTake(now);
    if (mayRepeat(plan, now) && isWithinRetryBudget) {
        plan.m_probedDistance.reset();
        plan.m_probed.clear();
        plan.m_probedAndRecorded = 0;
        return std::nullopt;
    }
    const Outcome outcome = plan.outcome();
    if (outcome == Outcome::NotRun) {
        const bool isResting = m_eligibility.restLeft(plan.m_query, now).has_value();
        const auto wait = isResting ? retryAfter(plan, context) : std::nullopt;
        return RefuseRequest { ErrorKind::UpstreamRefused, outcome, wait, std::nullopt };
    }
    const auto kind = promisesNotRun(failure->kind) ? ErrorKind::DeadlineExceeded : failure->kind;
    return RefuseRequest { kind, outcome, std::nullopt, std::nullopt };
}

std::optional<ProbeEndpoints> Dispatcher::prepareHedge(RequestPlan& plan, DecisionContext context)
{
    if (!mayRepeat(plan, context.now) || !retriesOf(plan.service()).hasRoomForHedge(context.now))
        return std::nullopt;
    followLatestRoute(plan);
    for (const auto distance : distances) {
        if (!m_chooser.isWorthProbing(plan.m_query, distance, std::nullopt, context.now))
            continue;
        plan.m_probedDistance = distance;
        plan.m_hedgeProbedAt = context.now;
        return probeEndpoints(plan, distance, placementState(), context);
    }
    return std::nullopt;
}

std::optional<SendRequest> Dispatcher::hedge(RequestPlan& plan, DecisionContext context)
{
    if (!mayRepeat(plan, context.now) || !plan.m_probedDistance)
        return std::nullopt;
    followLatestRoute(plan);
    auto choice = m_chooser.best(plan.m_query, *plan.m_probedDistance, context.now);
    const bool isUseful = choice && choice->isFresh && choice->hasRoom && choice->chance >= m_limits.minChance;
    if (!isUseful || !retriesOf(plan.service()).tryTakeForHedge(context.now))
        return std::nullopt;
    return SendRequest { *std::move(choice), plan.m_query.deadline - context.now, std::nullopt };
}

std::optional<Duration> Dispatcher::hedgeRetryDelay(const RequestPlan& plan, TimePoint now) const
{
    const Duration left = m_limits.chooser.maxReportAge - (now - plan.m_hedgeProbedAt);
    if (!plan.m_probedDistance || left <= Duration::zero() || !mayRepeat(plan, now))
        return std::nullopt;
    const auto choice = m_chooser.best(plan.m_query, *plan.m_probedDistance, now);
    if (choice && choice->isFresh)
        return std::nullopt;
    return std::min(left, probeTimeout(*plan.m_probedDistance));
}

bool Dispatcher::sent(RequestPlan& plan, const SendRequest& action, TimePoint now)
{
    ++plan.m_sends;
    plan.m_query.tried.push_back(action.choice.endpoint);
    m_tracker.requestSent(action.choice.endpoint, now);
    if (!m_eligibility.serviceOf(plan.m_query).coldRequestsPerSecond)
        return false;
    m_warmUp.sent(action.choice.endpoint, now);
    return true;
}

void Dispatcher::written(const SendRequest& action, TimePoint sentAt, TimePoint now)
{
    m_warmUp.written(action.choice.endpoint, sentAt, now);
}

void Dispatcher::answered(const RequestPlan& plan, const SendRequest& action, EndpointEvidence evidence,
    ByteCount answerBytes, TimePoint sentAt, TimePoint now)
{
    m_tracker.requestEnded(action.choice.endpoint, sentAt, evidence, now);
    if (evidence != EndpointEvidence::Served)
        return;
    if (m_spill)
        m_spill->recordAnswer(plan.service(), action.choice.distance, now <= plan.m_query.goalDeadline, now);
    m_times.observe(plan.route().id, plan.service(), action.choice.load, now - sentAt);
    m_times.observeAnswerBytes(plan.route().id, answerBytes);
}

void Dispatcher::lostToHedge(const RequestPlan& plan, const SendRequest& action, TimePoint sentAt, TimePoint now)
{
    m_tracker.requestEnded(action.choice.endpoint, sentAt, EndpointEvidence::LostToHedge, now);
    // Without these samples the estimate would include only the requests that were fast.
    m_times.observe(plan.route().id, plan.service(), action.choice.load, now - sentAt);
}

void Dispatcher::failed(RequestPlan& plan, const SendRequest& action, EndpointEvidence evidence, SendFailure failure,
    TimePoint sentAt, TimePoint now)
{
    m_tracker.requestEnded(action.choice.endpoint, sentAt, evidence, now);
    if (m_spill && evidence == EndpointEvidence::Refused)
        m_spill->recordRoom(plan.service(), action.choice.distance, false, now);
    if (failure.provenNotRun)
        ++plan.m_provenNotRun;
    plan.m_failure = failure;
}

} // namespace dogwoodhall
