#pragma once

#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/homes/ForwardEnvelope.h"
#include "dogwoodhall/daemon/homes/HedgedExchange.h"
#include "dogwoodhall/daemon/homes/HomeBypass.h"
#include "dogwoodhall/daemon/homes/PoolDirectory.h"
#include "dogwoodhall/daemon/homes/RequestWork.h"
#include "dogwoodhall/daemon/homes/TrafficServices.h"
#include "dogwoodhall/daemon/traffic/AnswerRelay.h"
#include "dogwoodhall/request/HedgePolicy.h"
#include "dogwoodhall/routing/LongWorkClassifier.h"

#include <functional>
#include <variant>

namespace dogwoodhall {

// The request is finished: answered whole, broken visibly, or answered with an error.
struct Finished { };
// The pool refused the request, which reached no upstream.
struct TurnedAway {
    ErrorKind kind;
};
using AttemptResult = std::variant<Finished, TurnedAway, AttemptFailure>;

// Makes one attempt of a request: at an endpoint with a slot from a pool of this process, through the pool's home on
// another member, or at an endpoint with a permit from that home.
class AttemptRunner {
public:
    // Takes one retry or hedge from the service's budget.
    using TakeRetry = std::function<bool(const ServiceId&)>;

    AttemptRunner(TrafficServices&, PoolDirectory&, LongWorkClassifier&, TakeRetry);

    void apply(SnapshotPointer);

    asio::awaitable<AttemptResult> attempt(RequestWork&, const ResponseWriter&);

    // The connection to a suspected home has ended: it is passed by for a while, as after any failure.
    void homeLost(const NetworkAddress& peer);

    // Holds a slot for a request of another member, until its stream is reset: the answer names the endpoint.
    asio::awaitable<void> grantPermit(const RequestWork&, const ResponseWriter&);

private:
    const PoolHome* homeFor(const RequestWork&) const;
    std::string_view reasonToPlaceHere(const RequestWork&) const;
    // Waits for a slot, with a span and the wait recorded.
    asio::awaitable<tl::expected<SlotLease, ErrorKind>> acquireSlot(const RequestWork&);
    asio::awaitable<tl::expected<SlotLease, ErrorKind>> waitForSlot(const RequestWork&);
    asio::awaitable<AttemptResult> direct(RequestWork&, const ResponseWriter&);
    asio::awaitable<AttemptResult> viaHome(RequestWork&, const ResponseWriter&, PoolHome);
    asio::awaitable<AttemptResult> withPermit(RequestWork&, const ResponseWriter&, PoolHome);
    asio::awaitable<AttemptResult> runAt(RequestWork&, const ResponseWriter&, Placement, Completion&);
    HedgedExchange::Plan planExchange(RequestWork&, const RequestTrace::Hop&, const NetworkAddress& first);
    asio::awaitable<AttemptResult> relayFromUpstream(
        RequestWork&, const ResponseWriter&, IncomingResponse&, RequestTrace::Hop&, Completion&);
    asio::awaitable<AttemptResult> relayFromHome(
        RequestWork&, const ResponseWriter&, IncomingResponse&, RequestTrace::Hop&);
    void addLoadFields(const RequestWork&, HeaderFields&);
    // Relays the answer and records what it took. One that breaks off fails the hop and that of the entry.
    asio::awaitable<RelayResult> relay(RequestWork&, const ResponseWriter&, IncomingResponse&, RequestTrace::Hop&);
    OutgoingRequest outgoing(RequestWork&, const RequestTrace::Hop&, bool withBody) const;
    OutgoingRequest requestToHome(RequestWork&, const RequestTrace::Hop&, ForwardEnvelope::Purpose) const;
    // Whether a request that waits at a suspected home goes elsewhere; pays for that where it may have run.
    bool leaveHome(RequestWork&, bool mayHaveRun);
    AttemptResult homeSuspected(RequestWork&, bool provenNotRun);
    AttemptResult homeFailed(RequestWork&, const PoolHome&, ErrorKind, bool provenNotRun);

    TrafficServices& m_services;
    PoolDirectory& m_pools;
    LongWorkClassifier& m_classifier;
    TakeRetry m_takeRetry;
    HedgePolicy m_hedges;
    SnapshotPointer m_snapshot;
    HomeBypass m_bypass;
};

} // namespace dogwoodhall
