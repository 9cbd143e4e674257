#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/pool/PlacementPolicy.h"
#include "dogwoodhall/pool/PoolActions.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

struct PoolEndpoint {
    EndpointId id;
    SlotCount slots { 1 };
    bool isLeaving = false;
};

struct PoolLimits {
    std::uint32_t queuePerSlot = 20;
    // Requests sent to an endpoint above its slots, so that it has the next one at hand during the hop.
    SlotCount allowance { 1 };
    SlotCount longSlotsPerEndpoint { 1 };
    Fraction longWorkShare { 0.5 };
    Duration coldRamp = std::chrono::seconds(10);
};

// One service in one data centre, at its home: counts the slots in use, keeps the queue, and dispatches a request only
// when an endpoint can take it.
class Pool {
public:
    Pool(PoolId, PoolLimits, PlacementPolicy);

    const PoolId& id() const { return m_id; }

    PoolActions admit(const PoolRequest&, DecisionContext);
    PoolActions complete(RequestId, const Completion&, DecisionContext);
    // Gives up a request, queued or dispatched.
    PoolActions cancel(RequestId, DecisionContext);
    PoolActions expire(DecisionContext);
    // Replaces the endpoints. Requests at an endpoint that is gone keep running and are no longer counted.
    PoolActions reconfigure(const std::vector<PoolEndpoint>&, const PoolLimits&, DecisionContext);

    std::size_t queued() const { return m_queue.size(); }
    std::size_t dispatched() const { return m_dispatched.size(); }

private:
    struct Endpoint {
        PoolEndpoint declared;
        SlotCount inUse;
        SlotCount longInUse;
        std::optional<SlotCount> reportedInUse;
    };
    struct Dispatched {
        EndpointId endpoint;
        WorkClass workClass;
    };

    bool canTake(const Endpoint&, const PoolRequest&) const;
    std::optional<EndpointId> place(const PoolRequest&, DecisionContext) const;
    void dispatch(const PoolRequest&, const EndpointId&, PoolActions&);
    void release(RequestId);
    void drainQueue(DecisionContext, PoolActions&);
    std::size_t queueCapacity() const;

    PoolId m_id;
    PoolLimits m_limits;
    PlacementPolicy m_policy;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::unordered_map<RequestId, Dispatched> m_dispatched;
    std::deque<PoolRequest> m_queue;
};

} // namespace dogwoodhall
