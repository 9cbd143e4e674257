#pragma once

#include "dogwoodhall/daemon/homes/SlotGateway.h"
#include "dogwoodhall/daemon/homes/TrafficServices.h"
#include "dogwoodhall/exchange/Exchange.h"

#include <functional>
#include <optional>

namespace dogwoodhall {

// Sends a request to one endpoint and, where the answer does not start within a delay, to a second one; the answer that
// starts first counts, and the other attempt is cancelled. For idempotent requests without a body.
class HedgedExchange {
public:
    struct Plan {
        NetworkAddress address; // Of the first endpoint.
        PoolId pool;
        PoolRequest second; // For the second endpoint's slot; excludes the first.
        std::chrono::steady_clock::time_point deadline;
        std::optional<Duration> delay; // Empty: no hedge.
        std::function<OutgoingRequest()> makeRequest;
        std::function<bool()> takeBudget;
    };

    HedgedExchange(TrafficServices&, Plan);
    HedgedExchange(const HedgedExchange&) = delete;
    HedgedExchange& operator=(const HedgedExchange&) = delete;
    // Frees answers that were not taken.
    ~HedgedExchange();

    ExchangeResult<IncomingResponse> run();

    // The second endpoint's slot where its answer was taken; empty where the first's was.
    std::optional<SlotLease>& winningLease() { return m_lease; }
    bool hasHedged() const { return m_hasHedged; }

private:
    asio::awaitable<void> runFirst();
    asio::awaitable<void> runSecond();
    // Ends with the second endpoint's slot given back where that did not answer, and false.
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
