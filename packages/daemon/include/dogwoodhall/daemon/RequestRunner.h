#pragma once

#include "dogwoodhall/budget/RetryBudget.h"
#include "dogwoodhall/daemon/SlotGateway.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/exchange/ReplayableBody.h"
#include "dogwoodhall/http/UpstreamClient.h"
#include "dogwoodhall/request/RequestLifecycle.h"

#include <map>

namespace dogwoodhall {

// Serves a request from its route to the end of its answer: waits for a slot, sends it, repeats it where that is
// allowed, and relays the answer. One for each traffic thread.
class RequestRunner {
public:
    RequestRunner(SlotGateway&, UpstreamClient&, DataCentreId own);

    void apply(SnapshotPointer snapshot) { m_snapshot = std::move(snapshot); }

    asio::awaitable<void> run(IncomingRequest, ResponseWriter);

private:
    struct Attempt;
    struct Work;

    asio::awaitable<void> runAttempts(Work&, const ResponseWriter&);
    asio::awaitable<std::optional<AttemptFailure>> attempt(Work&, const ResponseWriter&);
    asio::awaitable<std::optional<AttemptFailure>> relay(IncomingResponse&, Attempt&, const ResponseWriter&);
    std::optional<Route> route(const RequestHead&) const;
    std::optional<PoolId> choosePool(const Route&) const;
    const EndpointDeclaration* endpoint(const ServiceId&, const EndpointId&) const;
    RetryBudget& retryBudget(const ServiceId&);

    SlotGateway& m_slots;
    UpstreamClient& m_upstreams;
    DataCentreId m_dataCentre;
    SnapshotPointer m_snapshot;
    std::map<ServiceId, RetryBudget> m_retryBudgets;
};

} // namespace dogwoodhall
