#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/pool/DispatchAllowance.h"
#include "dogwoodhall/pool/EndpointHealth.h"
#include "dogwoodhall/pool/PlacementPolicy.h"
#include "dogwoodhall/pool/PoolActions.h"
#include "dogwoodhall/pool/WaitQueue.h"

#include <array>
#include <set>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

struct PoolEndpoint {
    EndpointId id;
    SlotCount slots { 1 };
    bool isLeaving = false;
};

struct PoolLimits {
    // Maximum queue length in requests per slot. Six keep the wait near six service times during an overload; longer
    // queues refuse fewer requests in a short peak but make all of them wait longer (docs/placement.md).
    std::uint32_t queuePerSlot = 6;
    AllowanceLimits allowance;
    SlotCount longSlotsPerEndpoint { 1 };
    Fraction longWorkShare { 0.5 };
    Duration coldRamp = std::chrono::seconds(10);
    // A low-priority request is refused if more than this share of the queue is taken.
    Fraction lowPriorityQueueShare { 0.5 };
    // After a refusal, the limit of the endpoint is raised by one request per this time.
    Duration refusalRecovery = std::chrono::milliseconds(200);
    // Maximum share of endpoints that are ejected at a time. At least one endpoint always stays in use.
    Fraction maxEjectedShare { 0.5 };
    EndpointHealthLimits health;
};

// The endpoints of one service in one data centre, managed by the pool's home: counts the slots in use, queues
// requests, and dispatches a request only when an endpoint has capacity.
//
// Queueing: the endpoint is chosen when the request is dispatched, not when it is queued. Normal priority precedes low
// priority; within a priority the order is first come, first served. A long request held back by the limits on long
// work does not delay short ones.
//
// Leaving: an endpoint is leaving if its declaration says so, or after setLeaving() or a response that says that it is
// draining. This state survives reconfigure(), because the host list lags behind it. It ends only when reconfigure()
// declares the endpoint live after having declared it leaving or omitted it. A returning endpoint is cold.
//
// Cold: an endpoint that is added to a pool that already had endpoints starts with a tenth of its slots, at least one,
// and reaches all of its slots and the allowance after coldRamp.
class Pool {
public:
    Pool(PoolId, PoolLimits, PlacementPolicy);

    const PoolId& id() const { return m_id; }

    // Dispatches, queues or refuses a request. Its id must not be in use.
    PoolActions admit(const PoolRequest&, DecisionContext);
    // Records the end of a dispatched request. Ignores an id that is not dispatched.
    PoolActions complete(RequestId, const Completion&, DecisionContext);
    // Cancels a queued or dispatched request. Ignores an unknown id.
    PoolActions cancel(RequestId, DecisionContext);
    PoolActions expire(DecisionContext);
    // Replaces the endpoints. Requests at a removed endpoint keep running, and are counted again if it returns.
    PoolActions reconfigure(const std::vector<PoolEndpoint>&, const PoolLimits&, DecisionContext);
    PoolActions setLeaving(const EndpointId&, DecisionContext);
    // Records the load from a health check response.
    void observeLoad(const EndpointId&, SlotCount reportedInUse, TimePoint now);
    // Records a round trip to an endpoint of the pool, without service time.
    void observeRoundTrip(Duration roundTrip) { m_allowance.observeRoundTrip(roundTrip); }

    // Returns the expected wait for a slot of a short request of normal priority that is admitted now: zero until there
    // are measurements, Duration::max() if no endpoint accepts work.
    Duration expectedWait(TimePoint now) const { return expectedWait(WorkClass::Short, Priority::Normal, now); }

    // Returns the number of slots of usable endpoints that are not held by requests of this pool.
    SlotCount freeSlots() const;

    // Returns the usable endpoints that are ejected or being probed after an ejection.
    std::set<EndpointId> ejected(TimePoint now) const;

    std::size_t queued() const { return m_queue.size(); }
    std::size_t dispatched() const { return m_dispatched.size(); }

private:
    struct Endpoint {
        PoolEndpoint declared;
        bool isDeclared = true;
        bool isKnownLeaving = false; // Declared, or known from a response or setLeaving().
        SlotCount inUse;
        SlotCount longInUse;
        SlotCount allowance; // Requests beyond its slots.
        std::optional<SlotCount> reportedInUse;
        std::optional<TimePoint> coldSince;
        std::optional<SlotCount> refusedAt; // Requests in flight when it last refused one.
        TimePoint lastRefusal;
        EndpointHealth health;

        bool isUsable() const { return isDeclared && !isKnownLeaving; }
    };
    struct Dispatched {
        EndpointId endpoint;
        WorkClass workClass;
        TimePoint since;
    };

    Endpoint* find(const EndpointId&);
    double coldShare(const Endpoint&, TimePoint) const;
    std::uint64_t limitOf(const Endpoint&, TimePoint) const;
    bool canTake(const Endpoint&, const PoolRequest&, bool mayUseEjected, TimePoint) const;
    bool isExcluded(const Endpoint&, const PoolRequest&) const;
    bool hasUsableEndpoint(const PoolRequest&) const;
    // Returns whether an endpoint that the request may use is not ejected.
    bool hasServingEndpoint(const PoolRequest&, TimePoint) const;
    std::uint64_t longLimit() const;
    std::size_t queueCapacity(WorkClass) const;
    Duration expectedWait(WorkClass, Priority, TimePoint) const;
    Duration meanHeld(WorkClass) const;

    void collectCandidates(const PoolRequest&, bool mayUseEjected, TimePoint);
    bool tryDispatch(const PoolRequest&, DecisionContext, PoolActions&);
    void dispatch(const PoolRequest&, Endpoint&, TimePoint, PoolActions&);
    // Adds the request to the queue, displacing a low-priority request if necessary, or refuses it.
    void enqueue(const PoolRequest&, TimePoint, PoolActions&);
    std::optional<Dispatched> release(RequestId);
    void recordCompletion(Endpoint&, const Dispatched&, const Completion&, TimePoint);
    void eject(Endpoint&, TimePoint);
    void countUsableSlots();
    void updateMedianServiceTime(TimePoint);
    void updateAllowances();
    // Valid right after drainQueue(): returns whether a request of the class that excludes no endpoint is queued, so
    // that no other request of the class can be placed.
    bool isBlocked(WorkClass) const;
    // Dispatches the first request of the lane that can be placed. Returns whether there was one.
    bool dispatchFrom(const WaitQueue::Lane&, DecisionContext, PoolActions&);
    bool dispatchNext(Priority, DecisionContext, PoolActions&);
    // Refuses expired requests and dispatches those that can be placed.
    void drainQueue(DecisionContext, PoolActions&);
    void refuseUnplaceable(PoolActions&);
    void armTimer(TimePoint, PoolActions&);

    PoolId m_id;
    PoolLimits m_limits;
    PlacementPolicy m_policy;
    std::vector<Endpoint> m_endpoints;
    std::unordered_map<EndpointId, std::size_t> m_index;
    std::unordered_map<RequestId, Dispatched> m_dispatched;
    WaitQueue m_queue;
    std::vector<EndpointCandidate> m_candidates; // Reused between calls to avoid allocations.
    std::vector<std::size_t> m_candidateIndices;
    std::uint64_t m_longInUse = 0;
    std::uint64_t m_usableSlots = 0;
    bool m_isConfigured = false;
    std::array<Duration, 2> m_meanHeld {}; // Mean time from dispatch to completion, by work class.
    Duration m_medianServiceTime {}; // Median of the endpoints' mean service times for short work.
    std::optional<TimePoint> m_medianUpdatedAt;
    DispatchAllowance m_allowance;
    TimePoint m_lastEjectionEnd; // No endpoint is ejected after this time.
    std::optional<TimePoint> m_armedAt;
};

} // namespace dogwoodhall
