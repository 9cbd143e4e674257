#include "dogwoodhall/daemon/homes/AttemptRunner.h"

#include "dogwoodhall/daemon/traffic/HeaderValues.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

// The part of AttemptRunner that deals with homes on other members, and with members whose home is this one.
namespace dogwoodhall {

namespace {

constexpr std::string_view permitEndpointField = "Dogwoodhall-Endpoint";
constexpr std::string_view permitAddressField = "Dogwoodhall-Endpoint-Address";
constexpr std::string_view upstreamTimeField = "Dogwoodhall-Upstream-Time-Us";
constexpr std::string_view expectedWaitField = "Dogwoodhall-Expected-Wait-Us";

// A home that drains, or that has yet to ask its peers for their records, is about to be replaced in the members' view.
bool isNoLongerHome(ErrorKind kind) { return kind == ErrorKind::Draining || kind == ErrorKind::NotReady; }

// The endpoint that a permit names; empty where the answer is no permit.
std::optional<Placement> permittedPlacement(const HeaderFields& headerFields)
{
    const auto named = headerFields.find(permitEndpointField);
    auto address = parseNetworkAddress(headerFields.find(permitAddressField).value_or(""));
    if (!named || !address)
        return std::nullopt;
    return Placement { EndpointId(std::string(*named)), std::move(*address) };
}

} // namespace

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

// What the entry member cannot see: the pool's load, and the upstream's share of the time.
void AttemptRunner::addLoadFields(const RequestWork& work, HeaderFields& headerFields)
{
    setMicroseconds(headerFields, upstreamTimeField, work.upstreamTime);
    if (auto load = m_pools.loads().find(work.pool))
        setMicroseconds(headerFields, expectedWaitField, load->expectedWait);
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
