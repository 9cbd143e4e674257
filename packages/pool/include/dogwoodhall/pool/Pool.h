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
    // Longest queue, in requests per slot. Six keep the wait near six service times while the pool is overloaded;
    // longer queues refuse fewer requests of a short swing and make all of them wait longer (docs/placement.md).
    std::uint32_t queuePerSlot = 6;
    AllowanceLimits allowance;
    SlotCount longSlotsPerEndpoint { 1 };
    Fraction longWorkShare { 0.5 };
    Duration coldRamp = std::chrono::seconds(10);
    // A low-priority request is refused where it would find more than this share of the queue taken.
    Fraction lowPriorityQueueShare { 0.5 };
    // After a refusal, an endpoint's limit rises again by one request per this time.
    Duration refusalRecovery = std::chrono::milliseconds(200);
    // At most this share of the endpoints is ejected at a time, and always one endpoint fewer than all.
    Fraction mostEjected { 0.5 };
    EndpointHealthLimits health;
};

// One service in one data centre, at its home: counts the slots in use, keeps the queue, and dispatches a request only
// when an endpoint can take it.
//
// Queueing: an endpoint is chosen only when the request is dispatched. Normal priority goes before low, then first
// come, first served; a long request that is held back by the limits on long work does not hold back short ones.
//
// Leaving: an endpoint is leaving while its declaration says so, and from the first setLeaving() or answer that says
// that it drains. That knowledge survives reconfigure(), because the host list lags behind it. It ends only when
// reconfigure() declares the endpoint live after having declared it leaving, or after having left it out. An endpoint
// that comes back is cold.
//
// Cold: an endpoint that is new to a pool that already had endpoints starts with a tenth of its slots, at least one,
// and reaches all of them and the allowance after coldRamp.
class Pool {
public:
    Pool(PoolId, PoolLimits, PlacementPolicy);

    const PoolId& id() const { return m_id; }

    // The request's id must not be in use.
    PoolActions admit(const PoolRequest&, DecisionContext);
    // Ignores an id that is not dispatched.
    PoolActions complete(RequestId, const Completion&, DecisionContext);
    // Gives up a request, queued or dispatched. Ignores an unknown id.
    PoolActions cancel(RequestId, DecisionContext);
    PoolActions expire(DecisionContext);
    // Replaces the endpoints. Requests at an endpoint that is gone keep running, and count again if it comes back.
    PoolActions reconfigure(const std::vector<PoolEndpoint>&, const PoolLimits&, DecisionContext);
    PoolActions setLeaving(const EndpointId&, DecisionContext);
    // What the endpoint's health endpoint answered.
    void observeLoad(const EndpointId&, SlotCount reportedInUse, TimePoint now);
    // From here to an endpoint of the pool and back, without service.
    void observeRoundTrip(Duration roundTrip) { m_allowance.observeRoundTrip(roundTrip); }

    // Time that a short request of normal priority, admitted now, would wait for a slot. Zero while nothing has been
    // measured, Duration::max() where no endpoint takes work.
    Duration expectedWait(TimePoint now) const { return expectedWait(WorkClass::Short, Priority::Normal, now); }

    // Slots of usable endpoints that no request of this pool holds.
    SlotCount freeSlots() const;

    // Usable endpoints that failed or were slow repeatedly and get no work but trial requests.
    std::set<EndpointId> ejected(TimePoint now) const;

    std::size_t queued() const { return m_queue.size(); }
    std::size_t dispatched() const { return m_dispatched.size(); }

private:
    struct Endpoint {
        PoolEndpoint declared;
        bool isDeclared = true;
        bool isKnownLeaving = false; // Learnt from an answer or setLeaving(), or declared.
        SlotCount inUse;
        SlotCount longInUse;
        SlotCount allowance; // Requests above its slots.
        std::optional<SlotCount> reportedInUse;
        std::optional<TimePoint> coldSince;
        std::optional<SlotCount> refusedAt; // Requests there when it last refused one.
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
    // One that is not ejected, and that the request may use.
    bool hasServingEndpoint(const PoolRequest&, TimePoint) const;
    std::uint64_t longLimit() const;
    std::size_t queueCapacity(WorkClass) const;
    Duration expectedWait(WorkClass, Priority, TimePoint) const;
    Duration meanHeld(WorkClass) const;

    void collectCandidates(const PoolRequest&, bool mayUseEjected, TimePoint);
    bool tryDispatch(const PoolRequest&, DecisionContext, PoolActions&);
    void dispatch(const PoolRequest&, Endpoint&, TimePoint, PoolActions&);
    // Refuses the request, or makes room for it in the queue and adds it.
    void enqueue(const PoolRequest&, TimePoint, PoolActions&);
    std::optional<Dispatched> release(RequestId);
    void learn(Endpoint&, const Dispatched&, const Completion&, TimePoint);
    void eject(Endpoint&, TimePoint);
    void countUsableSlots();
    void updateTypicalTime(TimePoint);
    void updateAllowances();
    // Right after drainQueue(): a request of the class that could go anywhere waits, so that another cannot be placed.
    bool isBlocked(WorkClass) const;
    // Dispatches one request of the lane, if one fits.
    bool dispatchFrom(const WaitQueue::Lane&, DecisionContext, PoolActions&);
    bool dispatchNext(Priority, DecisionContext, PoolActions&);
    // Refuses what is past its deadline and dispatches what fits.
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
    std::vector<EndpointCandidate> m_candidates; // Kept between decisions to save allocations.
    std::vector<std::size_t> m_candidateIndices;
    std::uint64_t m_longInUse = 0;
    std::uint64_t m_usableSlots = 0;
    bool m_isConfigured = false;
    std::array<Duration, 2> m_meanHeld {}; // Time from dispatch to completion, by work class.
    Duration m_typicalTime {}; // Median of the endpoints' mean times for short work.
    std::optional<TimePoint> m_typicalTimeAt;
    DispatchAllowance m_allowance;
    TimePoint m_lastEjectionEnd; // No endpoint is ejected from then on.
    std::optional<TimePoint> m_armedAt;
};

} // namespace dogwoodhall
