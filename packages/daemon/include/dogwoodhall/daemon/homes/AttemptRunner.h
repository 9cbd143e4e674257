#pragma once

#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/homes/ForwardEnvelope.h"
#include "dogwoodhall/daemon/homes/HedgedExchange.h"
#include "dogwoodhall/daemon/homes/HomeBypass.h"
#include "dogwoodhall/daemon/homes/PoolDirectory.h"
#include "dogwoodhall/daemon/homes/RequestState.h"
#include "dogwoodhall/daemon/homes/TrafficServices.h"
#include "dogwoodhall/daemon/traffic/AnswerRelay.h"
#include "dogwoodhall/request/HedgePolicy.h"
#include "dogwoodhall/routing/LongWorkClassifier.h"

#include <functional>
#include <variant>

namespace dogwoodhall {

// The request is finished: with a complete response, a visibly truncated one, or an error response.
struct Finished { };
// The pool refused the request before it reached any upstream.
struct RefusedByPool {
    ErrorKind kind;
};
using AttemptResult = std::variant<Finished, RefusedByPool, AttemptFailure>;

// Makes one attempt at a request: at an endpoint with a slot from a pool of this process, through the pool's home on
// another member, or at an endpoint with a permit from that home.
class AttemptRunner {
public:
    // Takes one retry or hedge from the service's retry budget. Returns false if the budget is exhausted.
    using TakeRetry = std::function<bool(const ServiceId&)>;

    AttemptRunner(TrafficServices&, PoolDirectory&, LongWorkClassifier&, TakeRetry);

    void apply(SnapshotPointer);

    asio::awaitable<AttemptResult> attempt(RequestState&, const ResponseWriter&);

    // Called when the connection to a suspected home has closed. Bypasses that home for a while, as after any failure.
    void handleHomeConnectionLost(const NetworkAddress& peer);

    // Holds a slot for another member's request until that member resets the stream. The response names the endpoint.
    asio::awaitable<void> grantPermit(const RequestState&, const ResponseWriter&);

private:
    const PoolHome* homeFor(const RequestState&) const;
    bool isExcluded(const PoolId&) const;
    std::string_view localPlacementReason(const RequestState&) const;
    // Waits for a slot, recording a span and the waiting time.
    asio::awaitable<tl::expected<SlotLease, ErrorKind>> acquireSlot(const RequestState&);
    asio::awaitable<tl::expected<SlotLease, ErrorKind>> waitForSlot(const RequestState&);
    asio::awaitable<AttemptResult> attemptInOwnPool(RequestState&, const ResponseWriter&);
    asio::awaitable<AttemptResult> attemptViaHome(RequestState&, const ResponseWriter&, PoolHome);
    asio::awaitable<AttemptResult> attemptWithPermit(RequestState&, const ResponseWriter&, PoolHome);
    asio::awaitable<AttemptResult> attemptAtEndpoint(RequestState&, const ResponseWriter&, Placement, Completion&);
    HedgedExchange::Plan planExchange(RequestState&, const RequestTrace::ActiveSpan&, const NetworkAddress& first);
    asio::awaitable<AttemptResult> relayFromUpstream(
        RequestState&, const ResponseWriter&, IncomingResponse&, RequestTrace::ActiveSpan&, Completion&);
    asio::awaitable<AttemptResult> relayFromHome(
        RequestState&, const ResponseWriter&, IncomingResponse&, RequestTrace::ActiveSpan&);
    void addLoadFields(const RequestState&, HeaderFields&);
    // Relays the response and records its duration and size. Marks this span and the entry span as failed if the
    // response is truncated.
    asio::awaitable<RelayResult> relay(
        RequestState&, const ResponseWriter&, IncomingResponse&, RequestTrace::ActiveSpan&);
    OutgoingRequest makeOutgoingRequest(RequestState&, const RequestTrace::ActiveSpan&, bool withBody) const;
    OutgoingRequest requestToHome(RequestState&, const RequestTrace::ActiveSpan&, ForwardEnvelope::Purpose) const;
    // Decides whether a request that waits at a suspected home is sent elsewhere. Takes a retry from the budget if the
    // request may already have run.
    bool tryLeaveHome(RequestState&, bool mayHaveRun);
    AttemptResult handleSuspectedHome(RequestState&, bool provenNotRun);
    AttemptResult handleHomeFailure(RequestState&, const PoolHome&, ErrorKind, bool provenNotRun);

    TrafficServices& m_services;
    PoolDirectory& m_pools;
    LongWorkClassifier& m_classifier;
    TakeRetry m_takeRetry;
    HedgePolicy m_hedges;
    SnapshotPointer m_snapshot;
    HomeBypass m_bypass;
};

} // namespace dogwoodhall
