#include "dogwoodhall/daemon/homes/AttemptRunner.h"

#include "dogwoodhall/daemon/traffic/HeaderValues.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

bool isRefusal(const ResponseHead& head) { return head.status == 503 && head.fields.find(fields::refused) == "1"; }

Duration timeLeft(const RequestState& state)
{
    return std::max<Duration>(std::chrono::milliseconds(1), state.deadline - monotonicNow());
}

CompletionResult toCompletionResult(RelayResult result)
{
    switch (result) {
    case RelayResult::Complete:
        return CompletionResult::Answered;
    case RelayResult::SourceFailed:
        return CompletionResult::Failed;
    case RelayResult::ReceiverFailed:
        break;
    }
    return CompletionResult::CallerFailed;
}

CompletionResult toCompletionResult(const ExchangeError& error)
{
    if (error.kind == ErrorKind::Cancelled)
        return CompletionResult::Cancelled;
    if (isCallerError(error.kind))
        return CompletionResult::CallerFailed;
    return error.provenNotRun ? CompletionResult::ConnectFailed : CompletionResult::Failed;
}

PoolRequest slotRequest(const RequestState& state)
{
    return { {}, state.workClass, state.route.priority, state.deadline, state.excluded, state.route.isIdempotent };
}

// Releases a slot and reports the endpoint's outcome, also if the attempt is cancelled.
struct CompletionGuard {
    explicit CompletionGuard(SlotLease& lease, TimePoint since = monotonicNow())
        : lease(lease)
        , since(since)
    {
    }
    CompletionGuard(const CompletionGuard&) = delete;
    CompletionGuard& operator=(const CompletionGuard&) = delete;
    ~CompletionGuard()
    {
        completion.serviceTime = monotonicNow() - since;
        lease.complete(completion);
    }

    SlotLease& lease;
    TimePoint since;
    Completion completion { CompletionResult::Cancelled, {}, {}, false };
};

AttemptFailure toFailure(const ExchangeError& error, bool reachedUpstream)
{
    return { error.kind, error.provenNotRun, true, reachedUpstream };
}

} // namespace

AttemptRunner::AttemptRunner(
    TrafficServices& services, PoolDirectory& pools, LongWorkClassifier& classifier, TakeRetry takeRetry)
    : m_services(services)
    , m_pools(pools)
    , m_classifier(classifier)
    , m_takeRetry(std::move(takeRetry))
    , m_snapshot(std::make_shared<Snapshot>())
    , m_bypass(services)
{
}

void AttemptRunner::apply(SnapshotPointer snapshot)
{
    m_snapshot = std::move(snapshot);
    m_bypass.removeExpired();
}

asio::awaitable<AttemptResult> AttemptRunner::attempt(RequestState& state, const ResponseWriter& writer)
{
    const PoolHome* home = homeFor(state);
    if (!home)
        return attemptInOwnPool(state, writer);
    if (state.workClass == WorkClass::Long && state.pool.dataCentre == m_services.dataCentre)
        return attemptWithPermit(state, writer, *home);
    return attemptViaHome(state, writer, *home);
}

const PoolHome* AttemptRunner::homeFor(const RequestState& state) const
{
    if (!state.mayUseHome || isExcluded(state.pool))
        return nullptr;
    auto it = m_snapshot->remoteHomes.find(state.pool);
    const bool hasHome = it != m_snapshot->remoteHomes.end() && !m_bypass.contains(it->second);
    return hasHome ? &it->second : nullptr;
}

// The pool may have been chosen by an older snapshot.
bool AttemptRunner::isExcluded(const PoolId& pool) const
{
    const auto* service = m_snapshot->routes.service(pool.service);
    return service && m_snapshot->eligibility.exclusionOf(*service, pool.dataCentre);
}

std::string_view AttemptRunner::localPlacementReason(const RequestState& state) const
{
    if (state.isForwarded)
        return "this member is the pool's home";
    if (!state.mayUseHome)
        return "the pool's home failed this request";
    if (isExcluded(state.pool))
        return "the pool may no longer be used";
    return m_snapshot->remoteHomes.contains(state.pool) ? "the pool's home failed lately"
                                                        : "no other member is the pool's home";
}

asio::awaitable<tl::expected<SlotLease, ErrorKind>> AttemptRunner::acquireSlot(const RequestState& state)
{
    RequestTrace::ActiveSpan span(state.trace, "queue", state.entrySpan.id());
    span.setAttribute("reason", localPlacementReason(state));
    const TimePoint queuedAt = monotonicNow();
    auto lease = co_await waitForSlot(state);
    m_services.metrics.queueWait.observe(monotonicNow() - queuedAt);
    if (lease)
        span.setAttribute("endpoint", lease->placement().endpoint.value());
    else
        span.setError(answerFor(lease.error()).name);
    co_return lease;
}

asio::awaitable<tl::expected<SlotLease, ErrorKind>> AttemptRunner::waitForSlot(const RequestState& state)
{
    PoolRequest poolRequest = slotRequest(state);
    if (state.refusingEndpoint)
        poolRequest.excluded.push_back(*state.refusingEndpoint);
    auto lease = co_await m_services.slots.acquire(state.pool, poolRequest);
    // An endpoint that was full may have a free slot by the time the pool dispatches to it again.
    const bool mayRetryRefusingEndpoint
        = !lease && lease.error() == ErrorKind::NoEndpoint && state.refusingEndpoint.has_value();
    if (!mayRetryRefusingEndpoint)
        co_return lease;
    poolRequest.excluded = state.excluded;
    co_return co_await m_services.slots.acquire(state.pool, poolRequest);
}

asio::awaitable<AttemptResult> AttemptRunner::attemptInOwnPool(RequestState& state, const ResponseWriter& writer)
{
    auto lease = co_await acquireSlot(state);
    if (!lease)
        co_return RefusedByPool { lease.error() };
    CompletionGuard completionGuard(*lease);
    co_return co_await attemptAtEndpoint(state, writer, lease->placement(), completionGuard.completion);
}

asio::awaitable<AttemptResult> AttemptRunner::attemptAtEndpoint(
    RequestState& state, const ResponseWriter& writer, Placement placement, Completion& completion)
{
    state.excluded.push_back(placement.endpoint);
    if (monotonicNow() >= state.deadline) {
        state.lifecycle.attemptStarted();
        co_return AttemptFailure { ErrorKind::DeadlineExceeded, true, true, false };
    }
    RequestTrace::ActiveSpan span(state.trace, "upstream", state.entrySpan.id());
    span.setAttribute("endpoint", placement.endpoint.value());
    state.lifecycle.attemptStarted();
    const TimePoint sentAt = monotonicNow();
    HedgedExchange exchange(m_services, planExchange(state, span, placement.address));
    auto response = co_await exchange.run();
    state.upstreamTime += monotonicNow() - sentAt;
    if (exchange.hasHedged())
        state.lifecycle.attemptStarted();
    if (!response) {
        const auto& error = response.error();
        span.setError(answerFor(error.kind).name);
        completion.result = toCompletionResult(error);
        co_return toFailure(error, !error.provenNotRun);
    }
    if (state.workClass == WorkClass::Short)
        m_hedges.observe(state.route.service, monotonicNow() - sentAt);
    auto& hedge = exchange.winningLease();
    if (!hedge)
        co_return co_await relayFromUpstream(state, writer, *response, span, completion);
    span.setAttribute("hedge", hedge->placement().endpoint.value());
    completion.result = CompletionResult::LostToHedge;
    CompletionGuard completionGuard(*hedge, sentAt);
    co_return co_await relayFromUpstream(state, writer, *response, span, completionGuard.completion);
}

HedgedExchange::Plan AttemptRunner::planExchange(
    RequestState& state, const RequestTrace::ActiveSpan& span, const NetworkAddress& first)
{
    HedgedExchange::Plan plan;
    plan.address = first;
    plan.pool = state.pool;
    plan.second = slotRequest(state);
    plan.deadline = toSteadyClock(state.deadline);
    const bool mayHedge = state.route.isIdempotent && state.workClass == WorkClass::Short
        && state.head.bodyLength.kind == BodyLength::Kind::None;
    if (mayHedge)
        plan.delay = m_hedges.delayFor(state.route.service);
    plan.makeRequest = [this, &state, &span] { return makeOutgoingRequest(state, span, true); };
    plan.takeBudget = [this, &state] { return m_takeRetry(state.route.service); };
    return plan;
}

asio::awaitable<AttemptResult> AttemptRunner::relayFromUpstream(RequestState& state, const ResponseWriter& writer,
    IncomingResponse& response, RequestTrace::ActiveSpan& span, Completion& completion)
{
    auto& headerFields = response.head.fields;
    completion.reportedInUse = slotField(headerFields, fields::load);
    completion.isDraining = headerFields.find(fields::draining) == "1";
    if (isRefusal(response.head)) {
        response.abandon();
        span.setError("upstream-refused");
        state.refusingEndpoint = state.excluded.back();
        state.excluded.pop_back();
        completion.result = CompletionResult::Refused;
        co_return AttemptFailure { ErrorKind::UpstreamRefused, true, true, true };
    }
    // Only the daemon may set these headers.
    headerFields.remove(fields::error);
    headerFields.remove(fields::outcome);
    if (state.isForwarded)
        addLoadFields(state, headerFields);
    completion.result = CompletionResult::CallerFailed; // Applies if the relay is cancelled.
    completion.result = toCompletionResult(co_await relay(state, writer, response, span));
    co_return Finished {};
}

asio::awaitable<RelayResult> AttemptRunner::relay(
    RequestState& state, const ResponseWriter& writer, IncomingResponse& response, RequestTrace::ActiveSpan& span)
{
    span.setAttribute("status", std::to_string(response.head.status));
    const TimePoint startedAt = monotonicNow();
    const auto relayed = co_await relayAnswer(response, writer,
        [&] { m_services.metrics.addedLatency.observe(monotonicNow() - state.receivedAt - state.upstreamTime); });
    const Duration serviceTime = state.upstreamTime + (monotonicNow() - startedAt);
    state.isAnswered = relayed.result == RelayResult::Complete;
    if (!state.isAnswered) {
        const auto* reason = relayed.result == RelayResult::SourceFailed ? "answer-broken-off" : "receiver-gone";
        span.setError(reason);
        state.entrySpan.setError(reason);
    }
    (state.isAnswered ? m_services.metrics.relayed : m_services.metrics.broken).add();
    if (state.isAnswered)
        m_classifier.record(
            state.route.service, state.route.rule, pathOf(state.head.target), serviceTime, relayed.bytes);
    if (!state.isForwarded)
        m_pools.recordBytes(state.pool, state.workClass, relayed.bytes);
    co_return relayed.result;
}

OutgoingRequest AttemptRunner::makeOutgoingRequest(
    RequestState& state, const RequestTrace::ActiveSpan& span, bool withBody) const
{
    OutgoingRequest request { state.head, withBody ? state.body.reader() : emptyBody(), state.body.hasEnded() };
    if (!withBody)
        request.head.bodyLength = {};
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft(state)).count();
    request.head.fields.set(std::string(fields::deadlineMs), std::to_string(ms));
    request.head.fields.set(std::string(fields::traceParent), span.traceParent());
    return request;
}

} // namespace dogwoodhall
