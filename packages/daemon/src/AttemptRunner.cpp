#include "dogwoodhall/daemon/AttemptRunner.h"

#include "dogwoodhall/daemon/HeaderValues.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr std::string_view permitEndpointField = "Dogwoodhall-Endpoint";
constexpr std::string_view permitAddressField = "Dogwoodhall-Endpoint-Address";
constexpr std::string_view upstreamTimeField = "Dogwoodhall-Upstream-Time-Us";
constexpr std::string_view expectedWaitField = "Dogwoodhall-Expected-Wait-Us";

bool isRefusal(const ResponseHead& head) { return head.status == 503 && head.fields.find(fields::refused) == "1"; }

// A home that drains, or that has yet to ask its peers for their records, is about to be replaced in the members' view.
bool isNoLongerHome(ErrorKind kind) { return kind == ErrorKind::Draining || kind == ErrorKind::NotReady; }

// The caller broke off its request's body, or sent it too slowly or too long.
bool isCallersFault(ErrorKind kind)
{
    return kind == ErrorKind::BadRequest || kind == ErrorKind::RequestTimeout || kind == ErrorKind::BodyTooLarge
        || kind == ErrorKind::Cancelled;
}

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

// The endpoint that a permit names; empty where the answer is no permit.
std::optional<Placement> permittedPlacement(const HeaderFields& headerFields)
{
    const auto named = headerFields.find(permitEndpointField);
    auto address = parseNetworkAddress(headerFields.find(permitAddressField).value_or(""));
    if (!named || !address)
        return std::nullopt;
    return Placement { EndpointId(std::string(*named)), std::move(*address) };
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

// What the entry member cannot see: the pool's load, and the upstream's share of the time.
void AttemptRunner::addLoadFields(const RequestWork& work, HeaderFields& headerFields)
{
    setMicroseconds(headerFields, upstreamTimeField, work.upstreamTime);
    if (auto load = m_pools.loads().find(work.pool))
        setMicroseconds(headerFields, expectedWaitField, load->expectedWait);
}

asio::awaitable<AttemptResult> AttemptRunner::viaHome(RequestWork& work, const ResponseWriter& writer, PoolHome home)
{
    RequestTrace::Hop hop(work.trace, "peer", work.entryHop.id());
    hop.note("home", home.member.value());
    hop.note("reason", "the pool's home is another member");
    m_services.metrics.forwarded.add();
    auto request = requestToHome(work, hop, ForwardEnvelope::Purpose::Forward);
    work.lifecycle.attemptStarted();
    bool hasLeft = false;
    const LeaveSuspected leave = [&](bool mayHaveRun) { return hasLeft = leaveHome(work, mayHaveRun); };
    auto response
        = co_await m_services.peers.exchange(home.peerAddress, std::move(request), toSteadyClock(work.deadline), leave);
    if (!response) {
        hop.fail(answerFor(response.error().kind).name);
        if (hasLeft)
            co_return homeSuspected(work, response.error().provenNotRun);
        co_return homeFailed(work, home, response.error().kind, response.error().provenNotRun);
    }
    const auto kind = errorKindFromName(response->head.fields.find(fields::error).value_or(""));
    if (!kind)
        co_return co_await relayFromHome(work, writer, *response, hop);
    const bool isNotRun = response->head.fields.find(fields::outcome) == toString(Outcome::NotRun);
    response->abandon();
    hop.fail(answerFor(*kind).name);
    if (isNotRun && isNoLongerHome(*kind))
        co_return homeFailed(work, home, *kind, true);
    // The home has made the attempts that its budget allows, so its word is final unless no upstream was reached.
    if (isNotRun) {
        work.lifecycle.attemptTurnedAway();
        co_return TurnedAway { *kind };
    }
    co_return AttemptFailure { *kind, false, false, true };
}

asio::awaitable<AttemptResult> AttemptRunner::relayFromHome(
    RequestWork& work, const ResponseWriter& writer, IncomingResponse& response, RequestTrace::Hop& hop)
{
    auto& headerFields = response.head.fields;
    work.upstreamTime += microsecondsField(headerFields, upstreamTimeField).value_or(Duration::zero());
    if (auto wait = microsecondsField(headerFields, expectedWaitField))
        m_pools.loads().observe(work.pool, *wait, monotonicNow());
    headerFields.remove(upstreamTimeField);
    headerFields.remove(expectedWaitField);
    co_await relay(work, writer, response, hop);
    co_return Finished {};
}

asio::awaitable<AttemptResult> AttemptRunner::withPermit(RequestWork& work, const ResponseWriter& writer, PoolHome home)
{
    RequestTrace::Hop hop(work.trace, "permit", work.entryHop.id());
    hop.note("home", home.member.value());
    hop.note("reason", "long work takes no second hop within its data centre");
    auto request = requestToHome(work, hop, ForwardEnvelope::Purpose::Permit);
    bool hasLeft = false;
    const LeaveSuspected leave = [&](bool) { return hasLeft = true; };
    auto permit
        = co_await m_services.peers.exchange(home.peerAddress, std::move(request), toSteadyClock(work.deadline), leave);
    if (!permit) {
        hop.fail(answerFor(permit.error().kind).name);
        // A permit runs nothing, so its loss is no loss of the request.
        work.lifecycle.attemptStarted();
        if (hasLeft)
            co_return homeSuspected(work, true);
        co_return homeFailed(work, home, permit.error().kind, true);
    }
    // The slot is held by the open stream, and returned when it is reset.
    struct Guard {
        IncomingResponse& permit;
        ~Guard() { permit.abandon(); }
    } guard { *permit };
    const auto placement = permittedPlacement(permit->head.fields);
    if (!placement) {
        const auto kind
            = errorKindFromName(permit->head.fields.find(fields::error).value_or("")).value_or(ErrorKind::PeerFailed);
        hop.fail(answerFor(kind).name);
        if (!isNoLongerHome(kind))
            co_return TurnedAway { kind };
        work.lifecycle.attemptStarted();
        co_return homeFailed(work, home, kind, true);
    }
    m_services.metrics.permits.add();
    hop.note("endpoint", placement->endpoint.value());
    Completion completion;
    co_return co_await runAt(work, writer, *placement, completion);
}

asio::awaitable<void> AttemptRunner::grantPermit(const RequestWork& work, const ResponseWriter& writer)
{
    auto lease = co_await acquireSlot(work);
    if (!lease) {
        work.entryHop.fail(answerFor(lease.error()).name);
        m_services.metrics.errorToMember(lease.error()).add();
        co_await writeError(writer, lease.error(), Outcome::NotRun);
        co_return;
    }
    ResponseHead head;
    head.status = 200;
    head.fields.add(std::string(permitEndpointField), lease->placement().endpoint.value());
    head.fields.add(std::string(permitAddressField), toString(lease->placement().address));
    head.bodyLength.kind = BodyLength::Kind::Streamed;
    if (!co_await writer.writeHead(head))
        co_return;
    // Ends by cancellation when the holder resets the stream or is lost; the lease is returned then.
    asio::steady_timer never(m_services.io, asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
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

OutgoingRequest AttemptRunner::requestToHome(
    RequestWork& work, const RequestTrace::Hop& hop, ForwardEnvelope::Purpose purpose) const
{
    auto request = outgoing(work, hop, purpose == ForwardEnvelope::Purpose::Forward);
    writeEnvelope({ purpose, work.pool, work.route }, request.head.fields);
    return request;
}

bool AttemptRunner::leaveHome(RequestWork& work, bool mayHaveRun)
{
    const AttemptFailure failure { ErrorKind::PeerFailed, !mayHaveRun, work.body.canRewind(), mayHaveRun };
    return work.lifecycle.mayRepeatAfter(failure) && (!mayHaveRun || m_takeRetry(work.route.service));
}

// The suspicion itself keeps further requests away, and ends with the first byte; leaveHome() has paid for the repeat.
AttemptResult AttemptRunner::homeSuspected(RequestWork& work, bool provenNotRun)
{
    work.mayUseHome = false;
    m_services.metrics.bypassedHomes.add();
    return AttemptFailure { ErrorKind::PeerFailed, provenNotRun, true, false };
}

void AttemptRunner::homeLost(const NetworkAddress& peer)
{
    for (const auto& [id, member] : m_snapshot->members) {
        if (member.peerAddress == peer)
            m_bypass.add(id);
    }
}

AttemptResult AttemptRunner::homeFailed(RequestWork& work, const PoolHome& home, ErrorKind kind, bool provenNotRun)
{
    work.mayUseHome = false;
    if (kind != ErrorKind::DeadlineExceeded && !isCallersFault(kind)) {
        m_services.metrics.bypassedHomes.add();
        m_bypass.add(home.member);
    }
    const auto reported = kind == ErrorKind::UpstreamFailed ? ErrorKind::PeerFailed : kind;
    return AttemptFailure { reported, provenNotRun, true, !provenNotRun };
}

} // namespace dogwoodhall
