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
    // Answers are not read ahead on this path: one that waits for its turn would hold its slot.
    const bool isTurn = co_await request.progress.awaitTurn();
    if (!isTurn)
        co_return;
    RunningGuard guard(m_running);
    const TimePoint receivedAt = monotonicNow();
    m_services.metrics.requests.add();
    removeInternalFields(request.head.fields);
    RequestTrace trace(request.head.fields, m_services.traceSampling, m_services.random, m_services.spans);
    RequestTrace::ActiveSpan span(trace, "entry", std::nullopt);
    if (!m_snapshot->isReady)
        co_return co_await refuse(writer, span, ErrorKind::NotReady);
    const auto found = route(request.head);
    if (!found)
        co_return co_await refuse(writer, span, ErrorKind::NoRoute);
    span.setAttribute("service", found->service.value());
    span.setAttribute("rule", found->rule.value());
    const auto workClass
        = m_classifier.classify(found->workClass, found->service, found->rule, pathOf(request.head.target));
    const auto pool = m_pools.choose(found->service, workClass);
    if (!pool)
        co_return co_await refuse(writer, span, ErrorKind::NoEndpoint);
    span.setAttribute("pool", toString(*pool));
    const bool isOwn = pool->dataCentre == m_services.dataCentre;
    span.setAttribute("reason", isOwn ? "own data centre" : "the own data centre has a longer wait or no pool");
    const Duration allowed
        = std::min(found->deadline, durationField(request.head.fields, fields::deadlineMs).value_or(found->deadline));
    const auto progress = std::move(request.progress);
    RequestState state { std::move(request.head),
        ReplayableBody(
            std::move(request.readBody), replayLimit, [&progress](std::size_t bytes) { progress.kept(bytes); }),
        *found, workClass, *pool, receivedAt, receivedAt + allowed, RequestLifecycle(found->isIdempotent, maxAttempts),
        trace, span };
    state.progress = progress;
    co_await runAttempts(state, writer);
}

asio::awaitable<void> RequestRunner::runForwarded(
    IncomingRequest request, const ForwardEnvelope& envelope, const ResponseWriter& writer)
{
    RunningGuard guard(m_running);
    const TimePoint receivedAt = monotonicNow();
    const auto left = durationField(request.head.fields, fields::deadlineMs);
    RequestTrace trace(request.head.fields, Fraction(0), m_services.random, m_services.spans);
    RequestTrace::ActiveSpan span(trace, "home", std::nullopt);
    if (!m_snapshot->isReady || !left)
        co_return co_await refuse(writer, span, left ? ErrorKind::NotReady : ErrorKind::BadRequest, Sender::Member);
    removeInternalFields(request.head.fields);
    const auto workClass = m_classifier.classify(
        envelope.route.workClass, envelope.pool.service, envelope.route.rule, pathOf(request.head.target));
    RequestState state { std::move(request.head), ReplayableBody(std::move(request.readBody), replayLimit),
        envelope.route, workClass, envelope.pool, receivedAt, receivedAt + *left,
        RequestLifecycle(envelope.route.isIdempotent, maxAttempts), trace, span, true, false };
    if (envelope.purpose == ForwardEnvelope::Purpose::Permit)
        co_await m_attempts.grantPermit(state, writer);
    else
        co_await runAttempts(state, writer);
}

asio::awaitable<void> RequestRunner::runAttempts(RequestState& state, const ResponseWriter& writer)
{
    RetryBudget& budget = retryBudget(state.route.service);
    if (state.head.bodyLength.kind != BodyLength::Kind::None) {
        auto prefetched = co_await state.body.prefetch();
        if (!prefetched) {
            const AnswerWithError error { prefetched.error().kind, Outcome::NotRun };
            co_return co_await answer(state, writer, error);
        }
        // The sender may be slow and occupy a slot meanwhile, so the request counts against the share of long work.
        if (!state.body.hasEnded())
            state.workClass = *(state.route.workClass = WorkClass::Long);
    }
    if (!state.progress.maySend()) {
        const AnswerWithError error { ErrorKind::CallerLimit, Outcome::NotRun };
        co_return co_await answer(state, writer, error);
    }
    while (true) {
        const auto result = co_await m_attempts.attempt(state, writer);
        if (std::holds_alternative<Finished>(result))
            break;
        const auto* poolRefusal = std::get_if<RefusedByPool>(&result);
        const AfterFailure next = poolRefusal ? afterPoolRefusal(state, poolRefusal->kind, budget)
                                              : afterFailure(state, std::get<AttemptFailure>(result), budget);
        if (const auto* error = std::get_if<AnswerWithError>(&next))
            co_return co_await answer(state, writer, *error);
        m_services.metrics.retries.add();
        state.body.rewind();
    }
    if (state.isAnswered)
        state.lifecycle.succeeded(budget);
}

AfterFailure RequestRunner::afterPoolRefusal(RequestState& state, ErrorKind kind, RetryBudget& budget)
{
    if (spill(state, kind, budget))
        return RetryRequest {};
    return state.lifecycle.endWithoutAttempt(kind);
}

AfterFailure RequestRunner::afterFailure(RequestState& state, AttemptFailure failure, RetryBudget& budget)
{
    failure.bodyCanBeReplayed = failure.bodyCanBeReplayed && state.body.canRewind();
    const auto next = state.lifecycle.attemptFailed(failure, budget);
    // None of the endpoints tried accepts connections, so the pool's other endpoints are probably down too.
    const bool isPoolDead = !failure.reachedUpstream && state.lifecycle.outcome() == Outcome::NotRun;
    if (std::holds_alternative<AnswerWithError>(next) && isPoolDead)
        return afterPoolRefusal(state, failure.kind, budget);
    return next;
}

bool RequestRunner::spill(RequestState& state, ErrorKind kind, RetryBudget& budget)
{
    if (state.isForwarded || !state.body.canRewind() || monotonicNow() >= state.deadline)
        return false;
    // A refusal costs the upstream work, so another attempt is taken from the retry budget.
    const bool costsRetry = kind == ErrorKind::UpstreamRefused;
    if (costsRetry && budget.available() < 1)
        return false;
    state.refusals.push_back({ state.pool.dataCentre, kind });
    const auto pool = m_pools.chooseAfterRefusal(state.route.service, state.refusals, state.workClass);
    if (!pool)
        return false;
    if (costsRetry)
        budget.tryTake();
    state.mayUseHome = true;
    state.pool = *pool;
    state.entrySpan.setAttribute("spilled", toString(*pool));
    return true;
}

asio::awaitable<void> RequestRunner::answer(RequestState& state, const ResponseWriter& writer, AnswerWithError error)
{
    state.entrySpan.setError(answerFor(error.kind).name);
    state.entrySpan.setAttribute("outcome", toString(error.outcome));
    auto& metrics = m_services.metrics;
    (state.isForwarded ? metrics.errorToMember(error.kind) : metrics.error(error.kind)).add();
    co_await writeError(writer, error.kind, error.outcome);
}

asio::awaitable<void> RequestRunner::refuse(
    const ResponseWriter& writer, RequestTrace::ActiveSpan& span, ErrorKind kind, Sender sender)
{
    span.setError(answerFor(kind).name);
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
