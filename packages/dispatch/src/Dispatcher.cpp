#include "dogwoodhall/dispatch/Dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dogwoodhall {

namespace {

// Of the health calls that are allowed. The rest is for members that this one has not heard of.
constexpr double asksUsed = 0.75;
// Health calls that may be made at once after a quiet spell, in seconds of the rate: a crest of demand lasts as long.
constexpr double askBurstSeconds = 5;
// Less time than this is not enough for any answer: the round trip and the handling of a request at both ends.
constexpr Duration shortestAttempt = std::chrono::milliseconds(5);
// Callers of a route do not all give the same time: first attempts were seen to state up to a sixth less than others.
constexpr double spreadOfFirstAttempts = 0.2;

constexpr std::array distances { Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion };

} // namespace

Dispatcher::Dispatcher(DispatchLimits limits)
    : m_limits(std::move(limits))
    , m_chooser(m_book, m_times, m_limits.chooser)
{
}

void Dispatcher::apply(std::shared_ptr<const Directory> directory, std::size_t members, TimePoint now)
{
    m_directory = std::move(directory);
    m_members = members;
    m_book.apply(*m_directory, now);
    shareAsks(now);
    for (auto& [service, retries] : m_retries)
        retries.setMembers(members);
}

void Dispatcher::shareAsks(TimePoint now)
{
    const double rate = asksUsed * m_limits.asksPerEndpointAndSecond * static_cast<double>(m_directory->endpointCount())
        / static_cast<double>(m_members * m_limits.trafficThreads);
    const auto perSecond = static_cast<std::uint64_t>(std::max(rate, 1.0));
    const CallCount capacity(static_cast<std::uint64_t>(std::max(rate * askBurstSeconds, 1.0)));
    if (m_asks)
        m_asks->setRate(CallCount(perSecond), capacity, now);
    else
        m_asks.emplace(CallCount(perSecond), capacity);
}

RetryAllowance& Dispatcher::retriesOf(const ServiceId& service)
{
    const auto [it, isNew] = m_retries.try_emplace(service, m_limits.retries);
    if (isNew)
        it->second.setMembers(m_members);
    return it->second;
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
    RequestPlan plan;
    plan.m_directory = m_directory;
    plan.m_receivedAt = now;
    plan.m_query.route = route;
    plan.m_query.service = m_directory->service(m_splits.next(*route));
    if (!plan.m_query.service)
        return tl::unexpected(ErrorKind::NoEndpoint);
    plan.m_elapsedAtCaller = elapsedAtCaller(*route, timeLeft);
    plan.m_isRepeat = plan.m_elapsedAtCaller > Duration::zero();
    plan.m_query.goalAt = now + route->latencyGoal - plan.m_elapsedAtCaller;
    plan.m_query.limit = now + std::min(route->timeout, timeLeft.value_or(route->timeout));
    retriesOf(plan.service()).requestArrived(now);
    return plan;
}

// Callers state what is left of their time. The longest that was seen on the route is that of a first attempt; one that
// is shorter by more than first attempts differ is that of a caller that has come back.
Duration Dispatcher::elapsedAtCaller(const RouteDeclaration& route, std::optional<Duration> timeLeft)
{
    if (!timeLeft)
        return Duration::zero();
    auto& full = m_fullTime[route.id];
    full = std::max(full, *timeLeft);
    const Duration missing = full - *timeLeft;
    return missing > scaled(full, spreadOfFirstAttempts) ? missing : Duration::zero();
}

RequestAction Dispatcher::next(RequestPlan& plan, DecisionContext context)
{
    if (auto refusal = refuseAfterFailure(plan, context.now))
        return *refusal;
    if (plan.m_query.limit - context.now < shortestAttempt)
        return refuse(plan, ErrorKind::DeadlineExceeded, context);
    return place(plan, context);
}

RequestAction Dispatcher::place(RequestPlan& plan, DecisionContext context)
{
    std::optional<EndpointChoice> choice;
    if (plan.m_asked)
        choice = m_chooser.best(plan.m_query, *plan.m_asked, context.now);
    const bool isCalm = choice && choice->isFresh && choice->hasRoom && choice->chance >= m_limits.calmChance;
    for (const auto distance : distances) {
        const bool isAsked = plan.m_asked && distance <= *plan.m_asked;
        if (isCalm || isAsked || !m_chooser.isWorthAsking(plan.m_query, distance, choice, context.now))
            continue;
        plan.m_asked = distance;
        if (auto question = ask(plan, distance, context))
            return *question;
        choice = m_chooser.best(plan.m_query, distance, context.now);
    }
    if (!choice)
        return refuse(plan, ErrorKind::NoEndpoint, context);
    if (!choice->hasRoom)
        return refuse(plan, ErrorKind::QueueFull, context, choice);
    // Work that takes longer than its goal also at a calm endpoint gains nothing from coming back.
    const bool canStillBeInTime = !plan.m_isRepeat && plan.m_sends == 0
        && plan.m_query.goalAt - context.now > expectedWhenCalm(plan) + shortestAttempt;
    if (choice->chance < m_limits.leastChance && canStillBeInTime)
        return refuse(plan, ErrorKind::DeadlineUnreachable, context, choice);
    return send(plan, *std::move(choice), context.now);
}

std::optional<AskEndpoints> Dispatcher::ask(RequestPlan& plan, Distance distance, DecisionContext context)
{
    auto endpoints = m_chooser.toAsk(plan.m_query, distance, context);
    if (endpoints.empty() || !m_asks->tryTake(CallCount(endpoints.size()), context.now))
        return std::nullopt;
    plan.m_endpointsAsked += endpoints.size();
    return AskEndpoints { std::move(endpoints), plan.m_query.service->declaration.healthPath, patience(distance) };
}

Duration Dispatcher::patience(Distance distance) const
{
    switch (distance) {
    case Distance::SameDataCentre:
        return m_limits.patienceNear;
    case Distance::SameRegion:
        return m_limits.patienceInRegion;
    case Distance::OtherRegion:
        break;
    }
    return m_limits.patienceFar;
}

SendRequest Dispatcher::send(const RequestPlan& plan, EndpointChoice choice, TimePoint now) const
{
    SendRequest action { std::move(choice), plan.m_query.limit - now, std::nullopt };
    const Duration goal = plan.m_query.goalAt - plan.m_receivedAt;
    const bool mayCopy = plan.route().isIdempotent && plan.m_bodyCanBeReplayed
        && plan.m_sends - plan.m_provenNotRun + 1 < plan.route().maxAttempts;
    if (mayCopy && goal > Duration::zero()) {
        const TimePoint due = plan.m_receivedAt + scaled(goal, m_limits.copyAfterPartOfGoal);
        action.copyAfter = std::max<Duration>(due - now, shortestAttempt);
    }
    return action;
}

RefuseRequest Dispatcher::refuse(
    const RequestPlan& plan, ErrorKind kind, DecisionContext context, std::optional<EndpointChoice> best) const
{
    const Outcome outcome = plan.outcome();
    // The kinds for which a caller may come back promise that the request has not run.
    if (outcome == Outcome::Unknown && kind != ErrorKind::DeadlineExceeded)
        return { ErrorKind::UpstreamFailed, outcome, std::nullopt, std::move(best) };
    if (kind == ErrorKind::DeadlineExceeded && outcome == Outcome::NotRun)
        kind = ErrorKind::DeadlineUnreachable;
    RefusalQuery query;
    query.goalLeft = plan.m_query.goalAt - context.now;
    query.timeLeft = plan.m_query.limit - context.now;
    query.expected = expectedWhenCalm(plan);
    std::optional<Duration> retryAfter;
    if (outcome == Outcome::NotRun)
        retryAfter = m_limits.retryAfter(query, context.random);
    return { kind, outcome, retryAfter, std::move(best) };
}

Duration Dispatcher::expectedWhenCalm(const RequestPlan& plan) const
{
    LoadReport calm;
    calm.slots = SlotCount(2);
    return m_times.expected(plan.route().id, plan.service(), calm, plan.route().latencyGoal);
}

bool Dispatcher::mayRepeat(const RequestPlan& plan, TimePoint now) const
{
    const bool isSafe = plan.route().isIdempotent || plan.outcome() == Outcome::NotRun;
    const bool hasAttempt = plan.m_sends - plan.m_provenNotRun < plan.route().maxAttempts;
    return isSafe && hasAttempt && plan.m_bodyCanBeReplayed && plan.m_query.limit - now >= shortestAttempt;
}

bool Dispatcher::mayRepeatServerError(RequestPlan& plan, TimePoint now)
{
    return plan.route().isIdempotent && mayRepeat(plan, now) && retriesOf(plan.service()).available(now) >= 1;
}

std::optional<RefuseRequest> Dispatcher::refuseAfterFailure(RequestPlan& plan, TimePoint now)
{
    const auto failure = std::exchange(plan.m_failure, std::nullopt);
    if (!failure)
        return std::nullopt;
    const bool isPaid = !failure->hasArrived || retriesOf(plan.service()).tryTake(now);
    if (mayRepeat(plan, now) && isPaid) {
        plan.m_asked.reset();
        return std::nullopt;
    }
    const Outcome outcome = plan.outcome();
    return RefuseRequest { outcome == Outcome::NotRun ? ErrorKind::UpstreamRefused : failure->kind, outcome,
        std::nullopt, std::nullopt };
}

std::optional<AskEndpoints> Dispatcher::askForCopy(RequestPlan& plan, DecisionContext context)
{
    if (!mayRepeat(plan, context.now) || !retriesOf(plan.service()).hasRoomForCopy(context.now))
        return std::nullopt;
    for (const auto distance : { Distance::SameDataCentre, Distance::SameRegion }) {
        if (!m_chooser.isWorthAsking(plan.m_query, distance, std::nullopt, context.now))
            continue;
        plan.m_asked = distance;
        return ask(plan, distance, context);
    }
    return std::nullopt;
}

std::optional<SendRequest> Dispatcher::copy(RequestPlan& plan, DecisionContext context)
{
    if (!mayRepeat(plan, context.now) || !plan.m_asked)
        return std::nullopt;
    auto choice = m_chooser.best(plan.m_query, *plan.m_asked, context.now);
    const bool isUseful = choice && choice->isFresh && choice->hasRoom && choice->chance >= m_limits.leastChance;
    if (!isUseful || !retriesOf(plan.service()).tryTakeForCopy(context.now))
        return std::nullopt;
    return SendRequest { *std::move(choice), plan.m_query.limit - context.now, std::nullopt };
}

void Dispatcher::sent(RequestPlan& plan, const SendRequest& action, TimePoint now)
{
    ++plan.m_sends;
    plan.m_query.tried.push_back(action.choice.endpoint);
    m_book.requestSent(action.choice.endpoint, now);
}

void Dispatcher::answered(const RequestPlan& plan, const SendRequest& action, EndpointEvidence evidence,
    ByteCount answerBytes, TimePoint sentAt, TimePoint now)
{
    m_book.requestEnded(action.choice.endpoint, sentAt, evidence, now);
    if (evidence != EndpointEvidence::Served)
        return;
    m_times.observe(plan.route().id, plan.service(), action.choice.load, now - sentAt);
    m_times.observeAnswerBytes(plan.route().id, answerBytes);
}

void Dispatcher::overtaken(const RequestPlan& plan, const SendRequest& action, TimePoint sentAt, TimePoint now)
{
    m_book.requestEnded(action.choice.endpoint, sentAt, EndpointEvidence::Overtaken, now);
    // Without them only the requests that went well would be learnt from.
    m_times.observe(plan.route().id, plan.service(), action.choice.load, now - sentAt);
}

void Dispatcher::failed(RequestPlan& plan, const SendRequest& action, EndpointEvidence evidence, SendFailure failure,
    TimePoint sentAt, TimePoint now)
{
    m_book.requestEnded(action.choice.endpoint, sentAt, evidence, now);
    if (failure.provenNotRun)
        ++plan.m_provenNotRun;
    plan.m_failure = failure;
}

} // namespace dogwoodhall
