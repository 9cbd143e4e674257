#include "dogwoodhall/daemon/homes/AttemptRunner.h"

#include "dogwoodhall/daemon/traffic/HeaderValues.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

bool isRefusal(const ResponseHead& head) { return head.status == 503 && head.fields.find(fields::refused) == "1"; }

Duration timeLeft(const RequestWork& work)
{
    return std::max<Duration>(std::chrono::milliseconds(1), work.deadline - monotonicNow());
}

CompletionResult toCompletionResult(RelayResult result)
{
    switch (result) {
    case RelayResult::Whole:
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
    if (isCallersFault(error.kind))
        return CompletionResult::CallerFailed;
    return error.provenNotRun ? CompletionResult::ConnectFailed : CompletionResult::Failed;
}

PoolRequest slotRequest(const RequestWork& work)
{
    return { {}, work.workClass, work.route.priority, work.deadline, work.excluded, work.route.isIdempotent };
}

// Returns a slot with what is known of its endpoint, also where a cancellation ends the attempt.
struct Completing {
    explicit Completing(SlotLease& lease, TimePoint since = monotonicNow())
        : lease(lease)
        , since(since)
    {
    }
    Completing(const Completing&) = delete;
    Completing& operator=(const Completing&) = delete;
    ~Completing()
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

asio::awaitable<AttemptResult> AttemptRunner::attempt(RequestWork& work, const ResponseWriter& writer)
{
    const PoolHome* home = homeFor(work);
    if (!home)
        return direct(work, writer);
    if (work.workClass == WorkClass::Long && work.pool.dataCentre == m_services.dataCentre)
        return withPermit(work, writer, *home);
    return viaHome(work, writer, *home);
}

const PoolHome* AttemptRunner::homeFor(const RequestWork& work) const
{
    if (!work.mayUseHome)
        return nullptr;
    auto it = m_snapshot->remoteHomes.find(work.pool);
    const bool hasHome = it != m_snapshot->remoteHomes.end() && !m_bypass.contains(it->second);
    return hasHome ? &it->second : nullptr;
}

std::string_view AttemptRunner::reasonToPlaceHere(const RequestWork& work) const
{
    if (work.isForwarded)
        return "this member is the pool's home";
    if (!work.mayUseHome)
        return "the pool's home failed this request";
    return m_snapshot->remoteHomes.contains(work.pool) ? "the pool's home failed lately"
                                                       : "no other member is the pool's home";
}

asio::awaitable<tl::expected<SlotLease, ErrorKind>> AttemptRunner::acquireSlot(const RequestWork& work)
{
    RequestTrace::Hop hop(work.trace, "queue", work.entryHop.id());
    hop.note("reason", reasonToPlaceHere(work));
    const TimePoint queuedAt = monotonicNow();
    auto lease = co_await waitForSlot(work);
    m_services.metrics.queueWait.observe(monotonicNow() - queuedAt);
    if (lease)
        hop.note("endpoint", lease->placement().endpoint.value());
    else
        hop.fail(answerFor(lease.error()).name);
    co_return lease;
}

asio::awaitable<tl::expected<SlotLease, ErrorKind>> AttemptRunner::waitForSlot(const RequestWork& work)
{
    PoolRequest wanted = slotRequest(work);
    if (work.refusedBy)
        wanted.excluded.push_back(*work.refusedBy);
    auto lease = co_await m_services.slots.acquire(work.pool, wanted);
    // An endpoint that was full may have a free slot by the time the pool dispatches to it again.
    const bool isOnlyRefuserLeft = !lease && lease.error() == ErrorKind::NoEndpoint && work.refusedBy.has_value();
    if (!isOnlyRefuserLeft)
        co_return lease;
    wanted.excluded = work.excluded;
    co_return co_await m_services.slots.acquire(work.pool, wanted);
}

asio::awaitable<AttemptResult> AttemptRunner::direct(RequestWork& work, const ResponseWriter& writer)
{
    auto lease = co_await acquireSlot(work);
    if (!lease)
        co_return TurnedAway { lease.error() };
    Completing completing(*lease);
    co_return co_await runAt(work, writer, lease->placement(), completing.completion);
}

asio::awaitable<AttemptResult> AttemptRunner::runAt(
    RequestWork& work, const ResponseWriter& writer, Placement placement, Completion& completion)
{
    work.excluded.push_back(placement.endpoint);
    if (monotonicNow() >= work.deadline) {
        work.lifecycle.attemptStarted();
        co_return AttemptFailure { ErrorKind::DeadlineExceeded, true, true, false };
    }
    RequestTrace::Hop hop(work.trace, "upstream", work.entryHop.id());
    hop.note("endpoint", placement.endpoint.value());
    work.lifecycle.attemptStarted();
    const TimePoint sentAt = monotonicNow();
    HedgedExchange exchange(m_services, planExchange(work, hop, placement.address));
    auto response = co_await exchange.run();
    work.upstreamTime += monotonicNow() - sentAt;
    if (exchange.hasHedged())
        work.lifecycle.attemptStarted();
    if (!response) {
        const auto& error = response.error();
        hop.fail(answerFor(error.kind).name);
        completion.result = toCompletionResult(error);
        co_return toFailure(error, !error.provenNotRun);
    }
    if (work.workClass == WorkClass::Short)
        m_hedges.observe(work.route.service, monotonicNow() - sentAt);
    auto& hedge = exchange.winningLease();
    if (!hedge)
        co_return co_await relayFromUpstream(work, writer, *response, hop, completion);
    hop.note("hedge", hedge->placement().endpoint.value());
    completion.result = CompletionResult::Overtaken;
    Completing completing(*hedge, sentAt);
    co_return co_await relayFromUpstream(work, writer, *response, hop, completing.completion);
}

HedgedExchange::Plan AttemptRunner::planExchange(
    RequestWork& work, const RequestTrace::Hop& hop, const NetworkAddress& first)
{
    HedgedExchange::Plan plan;
    plan.address = first;
    plan.pool = work.pool;
    plan.second = slotRequest(work);
    plan.deadline = toSteadyClock(work.deadline);
    const bool mayHedge = work.route.isIdempotent && work.workClass == WorkClass::Short
        && work.head.bodyLength.kind == BodyLength::Kind::None;
    if (mayHedge)
        plan.delay = m_hedges.delayFor(work.route.service);
    plan.makeRequest = [this, &work, &hop] { return outgoing(work, hop, true); };
    plan.takeBudget = [this, &work] { return m_takeRetry(work.route.service); };
    return plan;
}

asio::awaitable<AttemptResult> AttemptRunner::relayFromUpstream(RequestWork& work, const ResponseWriter& writer,
    IncomingResponse& response, RequestTrace::Hop& hop, Completion& completion)
{
    auto& headerFields = response.head.fields;
    completion.reportedInUse = slotField(headerFields, fields::load);
    completion.isDraining = headerFields.find(fields::draining) == "1";
    if (isRefusal(response.head)) {
        response.abandon();
        hop.fail("upstream-refused");
        work.refusedBy = work.excluded.back();
        work.excluded.pop_back();
        completion.result = CompletionResult::Refused;
        co_return AttemptFailure { ErrorKind::UpstreamRefused, true, true, true };
    }
    // Only the daemon may say these of an answer.
    headerFields.remove(fields::error);
    headerFields.remove(fields::outcome);
    if (work.isForwarded)
        addLoadFields(work, headerFields);
    completion.result = CompletionResult::CallerFailed; // Holds where the relay is cancelled.
    completion.result = toCompletionResult(co_await relay(work, writer, response, hop));
    co_return Finished {};
}

asio::awaitable<RelayResult> AttemptRunner::relay(
    RequestWork& work, const ResponseWriter& writer, IncomingResponse& response, RequestTrace::Hop& hop)
{
    hop.note("status", std::to_string(response.head.status));
    const TimePoint startedAt = monotonicNow();
    const auto relayed = co_await relayAnswer(response, writer,
        [&] { m_services.metrics.addedLatency.observe(monotonicNow() - work.receivedAt - work.upstreamTime); });
    const Duration serviceTime = work.upstreamTime + (monotonicNow() - startedAt);
    work.isAnswered = relayed.result == RelayResult::Whole;
    if (!work.isAnswered) {
        const auto* reason = relayed.result == RelayResult::SourceFailed ? "answer-broken-off" : "receiver-gone";
        hop.fail(reason);
        work.entryHop.fail(reason);
    }
    (work.isAnswered ? m_services.metrics.relayed : m_services.metrics.broken).add();
    if (work.isAnswered)
        m_classifier.record(work.route.service, work.route.rule, pathOf(work.head.target), serviceTime, relayed.bytes);
    if (!work.isForwarded)
        m_pools.recordBytes(work.pool, work.workClass, relayed.bytes);
    co_return relayed.result;
}

OutgoingRequest AttemptRunner::outgoing(RequestWork& work, const RequestTrace::Hop& hop, bool withBody) const
{
    OutgoingRequest request { work.head, withBody ? work.body.reader() : emptyBody() };
    if (!withBody)
        request.head.bodyLength = {};
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft(work)).count();
    request.head.fields.set(std::string(fields::deadlineMs), std::to_string(ms));
    request.head.fields.set(std::string(fields::traceParent), hop.traceParent());
    return request;
}

} // namespace dogwoodhall
