#pragma once

#include "dogwoodhall/budget/RetryBudget.h"
#include "dogwoodhall/daemon/homes/AttemptRunner.h"

#include <map>

namespace dogwoodhall {

// Handles a request from routing to the end of its response, retrying it where allowed. One instance per traffic
// thread.
class RequestRunner {
public:
    // The process's link budget is divided evenly between `trafficThreads`.
    RequestRunner(TrafficServices&, std::uint32_t trafficThreads);

    void apply(SnapshotPointer);

    // Handles a request from a caller.
    asio::awaitable<void> run(IncomingRequest, const ResponseWriter&);
    // Handles a request that another member forwarded to this one as its pool's home, or a request for a permit.
    asio::awaitable<void> runForwarded(IncomingRequest, const ForwardEnvelope&, const ResponseWriter&);

    std::size_t running() const { return m_running; }
    void handleHomeConnectionLost(const NetworkAddress& peer) { m_attempts.handleHomeConnectionLost(peer); }
    LoadTable& loads() { return m_pools.loads(); }

private:
    enum class Sender : std::uint8_t {
        Caller,
        Member,
    };

    asio::awaitable<void> runAttempts(RequestState&, const ResponseWriter&);
    std::optional<Route> route(const RequestHead&) const;
    // Moves a request that its pool refused to another pool. Returns false if no other pool may be tried.
    bool spill(RequestState&, ErrorKind, RetryBudget&);
    AfterFailure afterPoolRefusal(RequestState&, ErrorKind, RetryBudget&);
    AfterFailure afterFailure(RequestState&, AttemptFailure, RetryBudget&);
    asio::awaitable<void> answer(RequestState&, const ResponseWriter&, AnswerWithError);
    RetryBudget& retryBudget(const ServiceId&);
    asio::awaitable<void> refuse(const ResponseWriter&, RequestTrace::ActiveSpan&, ErrorKind, Sender = Sender::Caller);

    TrafficServices& m_services;
    PoolDirectory m_pools;
    LongWorkClassifier m_classifier;
    AttemptRunner m_attempts;
    SnapshotPointer m_snapshot;
    std::map<ServiceId, RetryBudget> m_retryBudgets;
    std::size_t m_running = 0;
};

} // namespace dogwoodhall
