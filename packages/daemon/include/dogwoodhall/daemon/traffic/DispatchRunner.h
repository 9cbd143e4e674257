#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/traffic/AnswerRelay.h"
#include "dogwoodhall/daemon/traffic/LoadQuerier.h"
#include "dogwoodhall/daemon/traffic/RequestCodec.h"
#include "dogwoodhall/daemon/traffic/RequestPath.h"
#include "dogwoodhall/dispatch/Dispatcher.h"
#include "dogwoodhall/exchange/ReplayableBody.h"
#include "dogwoodhall/http/UpstreamClient.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <optional>

namespace dogwoodhall {

// Performs the I/O for the Dispatcher's decisions: queries endpoints for their load, sends requests and hedges, and
// relays responses. Makes no decisions itself. One instance per traffic thread.
class DispatchRunner {
public:
    struct Options {
        DispatchLimits limits;
        RequestCodec codec;
        // Passes withdrawals on to the other traffic threads. May be empty.
        WithdrawalRecorder::Share shareWithdrawal {};
    };

    // The references must outlive the object.
    DispatchRunner(asio::io_context&, Options, DaemonMetrics&, RandomEngine&, EventLog&);

    RequestPath path();
    // Records what another traffic thread has learned.
    void apply(const EndpointWithdrawal& withdrawal) { m_withdrawals.apply(withdrawal); }

private:
    // State of one request, shared by its coroutines.
    struct RequestState {
        RequestHead head;
        ReplayableBody body;
        RequestPlan plan;
        CallId id;
        RequestProgress progress;
        bool isWarmUpLimitCounted = false;
    };
    class Attempt;

    asio::awaitable<void> run(IncomingRequest, const ResponseWriter&);
    asio::awaitable<void> serve(RequestState&, const ResponseWriter&);
    // Returns false if the request has been refused at its time limit, or must not be passed on.
    asio::awaitable<bool> awaitTurn(RequestState&, const ResponseWriter&);
    asio::awaitable<void> refuse(const ResponseWriter&, const CallId&, const RefuseRequest&, const RequestPlan*);
    // Returns true if a response was relayed, complete or truncated.
    asio::awaitable<bool> sendAndRelay(RequestState&, const SendRequest&, const ResponseWriter&);
    asio::awaitable<void> runFirstAttempt(RequestState&, Attempt& first, const std::optional<Attempt>& hedge);
    asio::awaitable<void> runHedge(RequestState&, const Attempt& first, std::optional<Attempt>& hedge);
    // Sends the request and waits for the response head and the first part of the body. Leaves the response in the
    // attempt if it can be relayed.
    asio::awaitable<void> exchange(RequestState&, Attempt&);
    asio::awaitable<bool> awaitBody(RequestState&, Attempt&);
    void recordFailure(RequestState&, Attempt&, const ExchangeError&);
    // Rejects a response that must not be relayed, because the endpoint did not run the request or a retry is
    // preferable. Returns true if it was rejected.
    bool rejectUnusableResponse(RequestState&, Attempt&, const AnswerDescription&);
    asio::awaitable<void> relay(RequestState&, Attempt&, const ResponseWriter&);
    // Returns false if it was cancelled.
    asio::awaitable<bool> waitUntil(TimePoint);
    // The request refers to both arguments.
    OutgoingRequest makeUpstreamRequest(RequestState&, const SendRequest&);
    void countColdSend(const SendRequest&);
    void logWarmUp(const WarmUpChange&);
    void logRepeat(const RequestState&, const EndpointId&);
    void addRetryBalance(EventLine&, const RequestPlan&) const;
    // See RequestPath.
    std::optional<Duration> retryIfUncertain() const;
    // What this member knows of the age of the configuration.
    void addConfirmation(EventLine&) const;
    void logAnswer(const RequestState&, const Attempt&, RelayResult);
    void reportSpill();
    // Time since the configuration in use was known to be the newest; empty if it never was.
    std::optional<Duration> configurationAge() const;
    DecisionContext context();

    asio::io_context& m_io;
    RequestCodec m_codec;
    DaemonMetrics& m_metrics;
    RandomEngine& m_random;
    EventLog& m_events;
    Dispatcher m_dispatcher;
    WithdrawalRecorder m_withdrawals;
    UpstreamClient m_upstreams;
    LoadQuerier m_loadQuerier;
    SnapshotPointer m_snapshot;
    LeaseTerm m_term;
    std::size_t m_running = 0;
    std::size_t m_idleLimit = 1; // Idle connections kept per endpoint.
};

} // namespace dogwoodhall
