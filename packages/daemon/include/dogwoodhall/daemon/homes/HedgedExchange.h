#pragma once

#include "dogwoodhall/daemon/homes/SlotGateway.h"
#include "dogwoodhall/daemon/homes/TrafficServices.h"
#include "dogwoodhall/exchange/Exchange.h"

#include <functional>
#include <optional>

namespace dogwoodhall {

// Sends a request to one endpoint and, if the response does not start within a delay, to a second one. The response
// that starts first is used and the other attempt is cancelled. For idempotent requests without a body.
class HedgedExchange {
public:
    struct Plan {
        NetworkAddress address; // The first endpoint.
        PoolId pool;
        PoolRequest second; // Requests a slot for the second endpoint; excludes the first endpoint.
        std::chrono::steady_clock::time_point deadline;
        std::optional<Duration> delay; // No hedge if empty.
        std::function<OutgoingRequest()> makeRequest;
        std::function<bool()> takeBudget;
    };

    HedgedExchange(TrafficServices&, Plan);
    HedgedExchange(const HedgedExchange&) = delete;
    HedgedExchange& operator=(const HedgedExchange&) = delete;
    // Releases the responses that were not returned by run().
    ~HedgedExchange();

    ExchangeResult<IncomingResponse> run();

    // The second endpoint's slot if its response was used; empty if the first endpoint's response was.
    std::optional<SlotLease>& winningLease() { return m_lease; }
    bool hasHedged() const { return m_hasHedged; }

private:
    asio::awaitable<void> runFirst();
    asio::awaitable<void> runSecond();
    // Returns false, with the second endpoint's slot released, if that endpoint did not give a usable response.
    asio::awaitable<bool> exchangeSecond();
    asio::awaitable<void> waitForever();

    TrafficServices& m_services;
    Plan m_plan;
    std::optional<tl::expected<IncomingResponse, ExchangeError>> m_first;
    std::optional<IncomingResponse> m_second;
    std::optional<SlotLease> m_lease;
    bool m_hasHedged = false;
};

} // namespace dogwoodhall
