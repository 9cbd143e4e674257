#pragma once

#include "dogwoodhall/budget/RetryBudget.h"
#include "dogwoodhall/daemon/homes/AttemptRunner.h"

#include <map>

namespace dogwoodhall {

// Serves a request from its route to the end of its answer, repeating it where that is allowed. One for each traffic
// thread.
class RequestRunner {
public:
    // `trafficThreads` share the process's link budget.
    RequestRunner(TrafficServices&, std::uint32_t trafficThreads);

    void apply(SnapshotPointer);

    // A request from a caller.
    asio::awaitable<void> run(IncomingRequest, const ResponseWriter&);
    // A request that another member forwarded to this one as its pool's home, or its wish for a permit.
    asio::awaitable<void> runForwarded(IncomingRequest, const ForwardEnvelope&, const ResponseWriter&);

    std::size_t running() const { return m_running; }
    void homeLost(const NetworkAddress& peer) { m_attempts.homeLost(peer); }
    LoadTable& loads() { return m_pools.loads(); }

private:
    enum class Sender : std::uint8_t {
        Caller,
        Member,
    };

    asio::awaitable<void> runAttempts(RequestWork&, const ResponseWriter&);
    std::optional<Route> route(const RequestHead&) const;
    // Moves a request that its pool turned away to another pool; false where none may be tried.
    bool spill(RequestWork&, ErrorKind, RetryBudget&);
    AfterFailure afterTurnedAway(RequestWork&, ErrorKind, RetryBudget&);
    AfterFailure afterFailure(RequestWork&, AttemptFailure, RetryBudget&);
    asio::awaitable<void> answer(RequestWork&, const ResponseWriter&, AnswerWithError);
    RetryBudget& retryBudget(const ServiceId&);
    asio::awaitable<void> refuse(const ResponseWriter&, RequestTrace::Hop&, ErrorKind, Sender = Sender::Caller);

    TrafficServices& m_services;
    PoolDirectory m_pools;
    LongWorkClassifier m_classifier;
    AttemptRunner m_attempts;
    SnapshotPointer m_snapshot;
    std::map<ServiceId, RetryBudget> m_retryBudgets;
    std::size_t m_running = 0;
};

} // namespace dogwoodhall
