#pragma once

#include "dogwoodhall/budget/LinkBudget.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/core/Ids.h"

#include <optional>
#include <vector>

namespace dogwoodhall {

// Last known state of the service's pool in one data centre.
struct PoolState {
    DataCentreId dataCentre;
    Duration expectedWait {}; // Duration::max() if it accepts no work.
    bool isReachable = true; // Has a live home that this member can reach.
    Duration age {}; // Age of expectedWait.
};

struct PoolChoice {
    DataCentreId dataCentre;
    bool isOtherRegion = false;
};

// A pool that refused a request with proof that it did not run, and the reason.
struct PoolRefusal {
    DataCentreId dataCentre;
    ErrorKind kind;
};

struct SpillLimits {
    // Maximum number of pools that a request may try. Four cover two regions of two data centres, or a region of three
    // and one other.
    std::size_t maxPools = 4;
    // Maximum number of pools that may refuse a request for lack of capacity. In an overload of all regions each
    // further attempt adds to the load.
    std::size_t maxFullPools = 2;
    // Minimum reduction of the wait beyond the round trip for using another pool. Expected waits are stale; a smaller
    // gain is often gone when the request arrives.
    Duration minGain = std::chrono::milliseconds(2);
    // A wait in another region that is older than this is stale: only one trial request per trialPeriod may act on it,
    // whose response brings a fresh one. A change in demand reaches all regions within 100 ms; without this limit
    // members crossed regions on waits from before the change and queued there again.
    Duration maxWaitAge = std::chrono::milliseconds(100);
    Duration trialPeriod = std::chrono::milliseconds(200);
};

// Chooses the data centre whose pool serves a request: the local one, unless its expected wait exceeds that of another
// data centre in the region, or else of another region, by more than the round trip plus the minimum gain. Chooses at
// random among several suitable pools of a region, so that members with the same stale state do not all send to the
// same pool. Crossing regions takes the request's expected bytes from the link budget.
class PoolChooser {
public:
    PoolChooser(TopologyDeclaration, DataCentreId own, SpillLimits = {});

    // Returns nullopt if no pool is reachable, or only one in another region that the link budget does not allow.
    std::optional<PoolChoice> choose(
        const std::vector<PoolState>&, ByteCount expectedBytes, LinkBudget&, DecisionContext);
    // Returns an untried pool for a request that these pools refused. After a refusal for lack of capacity, only a pool
    // with at most half of the refusing pool's expected wait is used, so that a demand peak in all regions does not
    // make each request try all of them. After refusals for lack of endpoints alone, any pool is used. Returns nullopt
    // if a limit is reached, or if every pool would refuse for the same reason.
    std::optional<PoolChoice> chooseAfterRefusal(const std::vector<PoolState>&, const std::vector<PoolRefusal>&,
        ByteCount expectedBytes, LinkBudget&, DecisionContext);

    // Fallback if choose() returns nullopt: the pool of the local data centre, else of one in the local region, else of
    // one in another region that the link budget allows, reachable or not.
    std::optional<PoolChoice> chooseNearest(
        const std::vector<PoolState>&, ByteCount expectedBytes, LinkBudget&, TimePoint now) const;

    // Returns whether traffic to this data centre is charged to the link budget. An undeclared data centre counts as
    // another region, so that a paid link is never used without a limit.
    bool isOtherRegion(const DataCentreId&) const;

private:
    using Refusals = std::vector<PoolRefusal>;

    const PoolState* ownState(const std::vector<PoolState>&) const;
    // Returns the longest acceptable wait at another pool, or nullopt if no other pool should be tried.
    std::optional<Duration> maxWaitAfter(const Refusals&, const std::vector<PoolState>&) const;
    // Returns a pool in another data centre whose wait is within the limit for its region. Charges the link budget if
    // it is in another region.
    std::optional<PoolChoice> chooseElsewhere(const std::vector<PoolState>&, const Refusals&, Duration maxWaitInRegion,
        Duration maxWaitAcrossRegions, ByteCount expectedBytes, LinkBudget&, DecisionContext);
    std::optional<PoolChoice> pick(const std::vector<PoolState>&, const Refusals&, bool inOtherRegion, Duration maxWait,
        Duration maxAge, RandomEngine&) const;

    TopologyDeclaration m_topology;
    DataCentreId m_ownDataCentre;
    std::optional<RegionId> m_ownRegion;
    SpillLimits m_limits;
    std::optional<TimePoint> m_lastTrial;
};

} // namespace dogwoodhall
