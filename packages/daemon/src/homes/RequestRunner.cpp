#include "dogwoodhall/daemon/homes/RequestRunner.h"

#include "dogwoodhall/daemon/RunningGuard.h"
#include "dogwoodhall/daemon/traffic/HeaderValues.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr unsigned maxAttempts = 3;
constexpr unsigned retryReserve = 10;
constexpr ByteCount replayLimit { 64 * 1024 };

} // namespace

RequestRunner::RequestRunner(TrafficServices& services, std::uint32_t trafficThreads)
    : m_services(services)
    , m_pools(services, Fraction(1.0 / trafficThreads))
    , m_attempts(
          services, m_pools, m_classifier, [this](const ServiceId& service) { return retryBudget(service).tryTake(); })
    , m_snapshot(std::make_shared<Snapshot>())
{
}

void RequestRunner::apply(SnapshotPointer snapshot)
{
    m_snapshot = snapshot;
    m_pools.apply(snapshot);
    m_attempts.apply(std::move(snapshot));
}

asio::awaitable<void> RequestRunner::run(IncomingRequest request, const ResponseWriter& writer)
{
    RunningGuard guard(m_running);
    const TimePoint receivedAt = monotonicNow();
    m_services.metrics.requests.add();
    removeInternalFields(request.head.fields);
    RequestTrace trace(request.head.fields, m_services.traceSampling, m_services.random, m_services.spans);
    RequestTrace::Hop hop(trace, "entry", std::nullopt);
    if (!m_snapshot->isReady)
        co_return co_await refuse(writer, hop, ErrorKind::NotReady);
    const auto found = route(request.head);
    if (!found)
        co_return co_await refuse(writer, hop, ErrorKind::NoRoute);
    hop.note("service", found->service.value());
    hop.note("rule", found->rule.value());
    const auto workClass
        = m_classifier.classify(found->workClass, found->service, found->rule, pathOf(request.head.target));
    const auto pool = m_pools.choose(found->service, workClass);
    if (!pool)
        co_return co_await refuse(writer, hop, ErrorKind::NoEndpoint);
    hop.note("pool", toString(*pool));
    const bool isOwn = pool->dataCentre == m_services.dataCentre;
    hop.note("reason", isOwn ? "own data centre" : "the own data centre has a longer wait or no pool");
    const Duration allowed
        = std::min(found->deadline, durationField(request.head.fields, fields::deadlineMs).value_or(found->deadline));
    RequestWork work { std::move(request.head), ReplayableBody(std::move(request.readBody), replayLimit), *found,
        workClass, *pool, receivedAt, receivedAt + allowed, RequestLifecycle(found->isIdempotent, maxAttempts), trace,
        hop };
    co_await runAttempts(work, writer);
}

asio::awaitable<void> RequestRunner::runForwarded(
    IncomingRequest request, const ForwardEnvelope& envelope, const ResponseWriter& writer)
{
    RunningGuard guard(m_running);
    const TimePoint receivedAt = monotonicNow();
    const auto left = durationField(request.head.fields, fields::deadlineMs);
    RequestTrace trace(request.head.fields, Fraction(0), m_services.random, m_services.spans);
    RequestTrace::Hop hop(trace, "home", std::nullopt);
    if (!m_snapshot->isReady || !left)
        co_return co_await refuse(writer, hop, left ? ErrorKind::NotReady : ErrorKind::BadRequest, Sender::Member);
    removeInternalFields(request.head.fields);
    const auto workClass = m_classifier.classify(
        envelope.route.workClass, envelope.pool.service, envelope.route.rule, pathOf(request.head.target));
    RequestWork work { std::move(request.head), ReplayableBody(std::move(request.readBody), replayLimit),
        envelope.route, workClass, envelope.pool, receivedAt, receivedAt + *left,
        RequestLifecycle(envelope.route.isIdempotent, maxAttempts), trace, hop, true, false };
    if (envelope.purpose == ForwardEnvelope::Purpose::Permit)
        co_await m_attempts.grantPermit(work, writer);
    else
        co_await runAttempts(work, writer);
}

asio::awaitable<void> RequestRunner::runAttempts(RequestWork& work, const ResponseWriter& writer)
{
    RetryBudget& budget = retryBudget(work.route.service);
    if (work.head.bodyLength.kind != BodyLength::Kind::None) {
        auto prefetched = co_await work.body.prefetch();
        if (!prefetched) {
            const AnswerWithError error { prefetched.error().kind, Outcome::NotRun };
            co_return co_await answer(work, writer, error);
        }
        // Its sender may be slow and holds a slot meanwhile: no more of them than the share of long work.
        if (!work.body.hasEnded())
            work.workClass = *(work.route.workClass = WorkClass::Long);
    }
    while (true) {
        const auto result = co_await m_attempts.attempt(work, writer);
        if (std::holds_alternative<Finished>(result))
            break;
        const auto* turnedAway = std::get_if<TurnedAway>(&result);
        const AfterFailure next = turnedAway ? afterTurnedAway(work, turnedAway->kind, budget)
                                             : afterFailure(work, std::get<AttemptFailure>(result), budget);
        if (const auto* error = std::get_if<AnswerWithError>(&next))
            co_return co_await answer(work, writer, *error);
        m_services.metrics.retries.add();
        work.body.rewind();
    }
    if (work.isAnswered)
        budget.recordSuccess();
}

AfterFailure RequestRunner::afterTurnedAway(RequestWork& work, ErrorKind kind, RetryBudget& budget)
{
    if (spill(work, kind, budget))
        return RetryRequest {};
    return work.lifecycle.endWithoutAttempt(kind);
}

AfterFailure RequestRunner::afterFailure(RequestWork& work, AttemptFailure failure, RetryBudget& budget)
{
    failure.bodyCanBeReplayed = failure.bodyCanBeReplayed && work.body.canRewind();
    const auto next = work.lifecycle.attemptFailed(failure, budget);
    // No endpoint that was tried accepts connections: the pool's other endpoints are likely gone too.
    const bool isPoolDead = !failure.reachedUpstream && work.lifecycle.outcome() == Outcome::NotRun;
    if (std::holds_alternative<AnswerWithError>(next) && isPoolDead)
        return afterTurnedAway(work, failure.kind, budget);
    return next;
}

bool RequestRunner::spill(RequestWork& work, ErrorKind kind, RetryBudget& budget)
{
    if (work.isForwarded || !work.body.canRewind() || monotonicNow() >= work.deadline)
        return false;
    // A refusal by an upstream cost it work; another attempt after it is paid from the retry budget.
    const bool costsRetry = kind == ErrorKind::UpstreamRefused;
    if (costsRetry && budget.available() < 1)
        return false;
    work.refusals.push_back({ work.pool.dataCentre, kind });
    const auto pool = m_pools.chooseAfterRefusal(work.route.service, work.refusals, work.workClass);
    if (!pool)
        return false;
    if (costsRetry)
        budget.tryTake();
    work.mayUseHome = true;
    work.pool = *pool;
    work.entryHop.note("spilled", toString(*pool));
    return true;
}

asio::awaitable<void> RequestRunner::answer(RequestWork& work, const ResponseWriter& writer, AnswerWithError error)
{
    work.entryHop.fail(answerFor(error.kind).name);
    work.entryHop.note("outcome", toString(error.outcome));
    auto& metrics = m_services.metrics;
    (work.isForwarded ? metrics.errorToMember(error.kind) : metrics.error(error.kind)).add();
    co_await writeError(writer, error.kind, error.outcome);
}

asio::awaitable<void> RequestRunner::refuse(
    const ResponseWriter& writer, RequestTrace::Hop& hop, ErrorKind kind, Sender sender)
{
    hop.fail(answerFor(kind).name);
    auto& metrics = m_services.metrics;
    (sender == Sender::Member ? metrics.errorToMember(kind) : metrics.error(kind)).add();
    co_await writeError(writer, kind, Outcome::NotRun);
}

std::optional<Route> RequestRunner::route(const RequestHead& head) const
{
    return m_snapshot->routes.find({ hostNameOf(head), pathOf(head.target), head.method });
}

RetryBudget& RequestRunner::retryBudget(const ServiceId& id)
{
    const auto* service = m_snapshot->routes.service(id);
    const Fraction share = service ? service->limits.retryShare : Fraction(0.1);
    RetryBudget& budget = m_retryBudgets.try_emplace(id, share, retryReserve).first->second;
    budget.setShare(share);
    return budget;
}

} // namespace dogwoodhall
