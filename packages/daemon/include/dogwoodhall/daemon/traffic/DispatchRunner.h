#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/traffic/AnswerRelay.h"
#include "dogwoodhall/daemon/traffic/LoadAsker.h"
#include "dogwoodhall/daemon/traffic/RequestCodec.h"
#include "dogwoodhall/daemon/traffic/RequestPath.h"
#include "dogwoodhall/dispatch/Dispatcher.h"
#include "dogwoodhall/exchange/ReplayableBody.h"
#include "dogwoodhall/http/UpstreamClient.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <optional>

namespace dogwoodhall {

// Carries out what the Dispatcher decides: has endpoints asked for their load, sends requests and copies, and passes
// answers on. Decides nothing itself. One for each traffic thread.
class DispatchRunner {
public:
    struct Options {
        DispatchLimits limits;
        RequestCodec codec;
    };

    // The references must outlive the object.
    DispatchRunner(asio::io_context&, Options, DaemonMetrics&, RandomEngine&, EventLog&);

    RequestPath path();

private:
    // A request on its way, and what its coroutines share.
    struct Work {
        RequestHead head;
        ReplayableBody body;
        RequestPlan plan;
        CallId id;
    };
    class Sending;

    asio::awaitable<void> run(IncomingRequest, const ResponseWriter&);
    asio::awaitable<void> serve(Work&, const ResponseWriter&);
    asio::awaitable<void> refuse(const ResponseWriter&, const CallId&, const RefuseRequest&, const RequestPlan*);
    // True where an answer was passed on, whole or broken.
    asio::awaitable<bool> sendAndRelay(Work&, const SendRequest&, const ResponseWriter&);
    asio::awaitable<void> sendFirst(Work&, Sending& first, const std::optional<Sending>& copy);
    asio::awaitable<void> sendCopy(Work&, const Sending& first, std::optional<Sending>& copy);
    // Sends and waits for the head and the first part of the body. The answer is in the sending where there is one to
    // pass on.
    asio::awaitable<void> exchange(Work&, Sending&);
    asio::awaitable<bool> awaitBody(Work&, Sending&);
    void noteFailure(Work&, Sending&, const ExchangeError&);
    // An answer that is not passed on: the endpoint did not run the request, or another try is better.
    bool isTurnedDown(Work&, Sending&, const AnswerDescription&);
    asio::awaitable<void> relay(Work&, Sending&, const ResponseWriter&);
    asio::awaitable<void> waitUntil(TimePoint);
    OutgoingRequest outgoing(Work&, const SendRequest&);
    void logAnswer(const Work&, const Sending&, RelayResult);
    DecisionContext context();

    asio::io_context& m_io;
    RequestCodec m_codec;
    DaemonMetrics& m_metrics;
    RandomEngine& m_random;
    EventLog& m_events;
    Dispatcher m_dispatcher;
    UpstreamClient m_upstreams;
    LoadAsker m_asker;
    SnapshotPointer m_snapshot;
    std::size_t m_running = 0;
    std::size_t m_idleLimit = 1; // Unused connections kept to one endpoint.
};

} // namespace dogwoodhall
