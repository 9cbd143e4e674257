#include "dogwoodhall/daemon/homes/AttemptRunner.h"

#include "dogwoodhall/daemon/traffic/HeaderValues.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

// The part of AttemptRunner that handles homes on other members, and requests for which this member is the home.
namespace dogwoodhall {

namespace {

constexpr std::string_view permitEndpointField = "Dogwoodhall-Endpoint";
constexpr std::string_view permitAddressField = "Dogwoodhall-Endpoint-Address";
constexpr std::string_view upstreamTimeField = "Dogwoodhall-Upstream-Time-Us";
constexpr std::string_view expectedWaitField = "Dogwoodhall-Expected-Wait-Us";

// A home that is draining, or that has not yet obtained its peers' records, is about to be replaced in the members'
// view.
bool isNoLongerHome(ErrorKind kind) { return kind == ErrorKind::Draining || kind == ErrorKind::NotReady; }

// The endpoint named by a permit; empty if the response is not a permit.
std::optional<Placement> permittedPlacement(const HeaderFields& headerFields)
{
    const auto named = headerFields.find(permitEndpointField);
    auto address = parseRemoteAddress(headerFields.find(permitAddressField).value_or(""));
    if (!named || !address)
        return std::nullopt;
    return Placement { EndpointId(std::string(*named)), *address };
}

} // namespace

asio::awaitable<AttemptResult> AttemptRunner::attemptViaHome(
    RequestState& state, const ResponseWriter& writer, PoolHome home)
{
    RequestTrace::ActiveSpan span(state.trace, "peer", state.entrySpan.id());
    span.setAttribute("home", home.member.value());
    span.setAttribute("reason", "the pool's home is another member");
    m_services.metrics.forwarded.add();
    auto request = requestToHome(state, span, ForwardEnvelope::Purpose::Forward);
    state.lifecycle.attemptStarted();
    bool hasLeft = false;
    const ShouldAbandonSuspected shouldAbandon
        = [&](bool mayHaveRun) { return hasLeft = tryLeaveHome(state, mayHaveRun); };
    auto response = co_await m_services.peers.exchange(
        home.peerAddress, std::move(request), toSteadyClock(state.deadline), shouldAbandon);
    if (!response) {
        span.setError(answerFor(response.error().kind).name);
        if (hasLeft)
            co_return handleSuspectedHome(state, response.error().provenNotRun);
        co_return handleHomeFailure(state, home, response.error().kind, response.error().provenNotRun);
    }
    const auto kind = errorKindFromName(response->head.fields.find(fields::error).value_or(""));
    if (!kind)
        co_return co_await relayFromHome(state, writer, *response, span);
    const bool isNotRun = response->head.fields.find(fields::outcome) == toString(Outcome::NotRun);
    response->abandon();
    span.setError(answerFor(*kind).name);
    if (isNotRun && isNoLongerHome(*kind))
        co_return handleHomeFailure(state, home, *kind, true);
    // The home has made all the attempts that its budget allows, so its error is final unless no upstream was reached.
    if (isNotRun) {
        state.lifecycle.attemptRefusedBeforeUpstream();
        co_return RefusedByPool { *kind };
    }
    co_return AttemptFailure { *kind, false, false, true };
}

asio::awaitable<AttemptResult> AttemptRunner::relayFromHome(
    RequestState& state, const ResponseWriter& writer, IncomingResponse& response, RequestTrace::ActiveSpan& span)
{
    auto& headerFields = response.head.fields;
    state.upstreamTime += microsecondsField(headerFields, upstreamTimeField).value_or(Duration::zero());
    if (auto wait = microsecondsField(headerFields, expectedWaitField))
        m_pools.loads().observe(state.pool, *wait, monotonicNow());
    headerFields.remove(upstreamTimeField);
    headerFields.remove(expectedWaitField);
    co_await relay(state, writer, response, span);
    co_return Finished {};
}

asio::awaitable<AttemptResult> AttemptRunner::attemptWithPermit(
    RequestState& state, const ResponseWriter& writer, PoolHome home)
{
    RequestTrace::ActiveSpan span(state.trace, "permit", state.entrySpan.id());
    span.setAttribute("home", home.member.value());
    span.setAttribute("reason", "long work takes no second hop within its data centre");
    auto request = requestToHome(state, span, ForwardEnvelope::Purpose::Permit);
    bool hasLeft = false;
    const ShouldAbandonSuspected shouldAbandon = [&](bool) { return hasLeft = true; };
    auto permit = co_await m_services.peers.exchange(
        home.peerAddress, std::move(request), toSteadyClock(state.deadline), shouldAbandon);
    if (!permit) {
        span.setError(answerFor(permit.error().kind).name);
        // A permit runs nothing, so a failed permit request never affects the request itself.
        state.lifecycle.attemptStarted();
        if (hasLeft)
            co_return handleSuspectedHome(state, true);
        co_return handleHomeFailure(state, home, permit.error().kind, true);
    }
    // The home holds the slot while the stream is open and releases it when the stream is reset.
    struct Guard {
        IncomingResponse& permit;
        ~Guard() { permit.abandon(); }
    } guard { *permit };
    const auto placement = permittedPlacement(permit->head.fields);
    if (!placement) {
        const auto kind
            = errorKindFromName(permit->head.fields.find(fields::error).value_or("")).value_or(ErrorKind::PeerFailed);
        span.setError(answerFor(kind).name);
        if (!isNoLongerHome(kind))
            co_return RefusedByPool { kind };
        state.lifecycle.attemptStarted();
        co_return handleHomeFailure(state, home, kind, true);
    }
    m_services.metrics.permits.add();
    span.setAttribute("endpoint", placement->endpoint.value());
    Completion completion;
    co_return co_await attemptAtEndpoint(state, writer, *placement, completion);
}

asio::awaitable<void> AttemptRunner::grantPermit(const RequestState& state, const ResponseWriter& writer)
{
    auto lease = co_await acquireSlot(state);
    if (!lease) {
        state.entrySpan.setError(answerFor(lease.error()).name);
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
    // Cancelled when the permit's holder resets the stream or its connection is lost; the lease is then released.
    asio::steady_timer never(m_services.io, asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Adds what the entry member cannot measure: the pool's load and the time spent at the upstream.
void AttemptRunner::addLoadFields(const RequestState& state, HeaderFields& headerFields)
{
    setMicroseconds(headerFields, upstreamTimeField, state.upstreamTime);
    if (auto load = m_pools.loads().find(state.pool))
        setMicroseconds(headerFields, expectedWaitField, load->expectedWait);
}

OutgoingRequest AttemptRunner::requestToHome(
    RequestState& state, const RequestTrace::ActiveSpan& span, ForwardEnvelope::Purpose purpose) const
{
    auto request = makeOutgoingRequest(state, span, purpose == ForwardEnvelope::Purpose::Forward);
    writeEnvelope({ purpose, state.pool, state.route }, request.head.fields);
    return request;
}

bool AttemptRunner::tryLeaveHome(RequestState& state, bool mayHaveRun)
{
    const AttemptFailure failure { ErrorKind::PeerFailed, !mayHaveRun, state.body.canRewind(), mayHaveRun };
    return state.lifecycle.mayRepeatAfter(failure) && (!mayHaveRun || m_takeRetry(state.route.service));
}

// The home is not added to the bypass list: while suspected it gets no further requests, and the suspicion ends with
// the first byte received from it. tryLeaveHome() has already taken the retry from the budget.
AttemptResult AttemptRunner::handleSuspectedHome(RequestState& state, bool provenNotRun)
{
    state.mayUseHome = false;
    m_services.metrics.bypassedHomes.add();
    return AttemptFailure { ErrorKind::PeerFailed, provenNotRun, true, false };
}

void AttemptRunner::handleHomeConnectionLost(const NetworkAddress& peer)
{
    for (const auto& [id, member] : m_snapshot->members) {
        if (member.peerAddress == peer)
            m_bypass.add(id);
    }
}

AttemptResult AttemptRunner::handleHomeFailure(
    RequestState& state, const PoolHome& home, ErrorKind kind, bool provenNotRun)
{
    state.mayUseHome = false;
    if (kind != ErrorKind::DeadlineExceeded && !isCallerError(kind)) {
        m_services.metrics.bypassedHomes.add();
        m_bypass.add(home.member);
    }
    const auto reported = kind == ErrorKind::UpstreamFailed ? ErrorKind::PeerFailed : kind;
    return AttemptFailure { reported, provenNotRun, true, !provenNotRun };
}

} // namespace dogwoodhall
