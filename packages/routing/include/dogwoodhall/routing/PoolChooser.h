#pragma once

#include "dogwoodhall/budget/LinkBudget.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/core/Ids.h"

#include <optional>
#include <vector>

namespace dogwoodhall {

// What a member last heard of the service's pool in one data centre.
struct PoolState {
    DataCentreId dataCentre;
    Duration expectedWait {}; // Duration::max(): takes no work.
    bool isReachable = true; // Has a live home that this member can reach.
    Duration age {}; // Of expectedWait.
};

struct PoolChoice {
    DataCentreId dataCentre;
    bool isOtherRegion = false;
};

// A pool that turned a request away with proof that it did not run, and why.
struct PoolRefusal {
    DataCentreId dataCentre;
    ErrorKind kind;
};

struct SpillLimits {
    // Pools that one request may try. Four are two regions of two data centres, or a region of three and one beyond.
    std::size_t mostPools = 4;
    // Of these, pools that refuse for lack of room. In an overload of all regions each further try adds to it.
    std::size_t mostFullPools = 2;
    // A pool elsewhere must be better by this much beyond the hop. Expected waits are stale, and a smaller gain is
    // often gone when the request arrives.
    Duration leastGain = std::chrono::milliseconds(2);
    // A wait in another region that was heard of longer ago is stale: only a trial request may act on it, at most one
    // in each trialPeriod, whose answer brings a fresh one. A demand swing reaches all regions within 100 ms; without
    // this rule members crossed regions on waits from before the swing and queued there again.
    Duration freshFor = std::chrono::milliseconds(100);
    Duration trialPeriod = std::chrono::milliseconds(200);
};

// Picks the data centre whose pool serves a request: the member's own, unless the expected wait there exceeds that of
// another data centre of the region, and then of another region, by more than the round trip and the least gain.
// Among several better ones of a region a random one is chosen, so that members with the same stale knowledge do not
// all send to the same pool. Crossing regions takes the request's expected bytes from the link budget.
class PoolChooser {
public:
    PoolChooser(TopologyDeclaration, DataCentreId own, SpillLimits = {});

    // Empty where no pool is reachable, or only one in another region that the link budget does not allow.
    std::optional<PoolChoice> choose(
        const std::vector<PoolState>&, ByteCount expectedBytes, LinkBudget&, DecisionContext);
    // Where to send a request that these pools refused: one that it has not tried. After a refusal for lack of room
    // only a pool with at most half of the refusing pool's expected wait, so that a swing in all regions does not make
    // each request try all of them; after refusals for lack of endpoints alone, any. Empty where the limits are
    // reached, or a refusal would be the same at every pool.
    std::optional<PoolChoice> chooseAfterRefusal(const std::vector<PoolState>&, const std::vector<PoolRefusal>&,
        ByteCount expectedBytes, LinkBudget&, DecisionContext);

    // Where choose() finds none: the own data centre's pool, else one in the own region, else one in another region
    // that the link budget allows, reachable or not.
    std::optional<PoolChoice> chooseNearest(
        const std::vector<PoolState>&, ByteCount expectedBytes, LinkBudget&, TimePoint now) const;

    // Whether traffic to this data centre is charged to the link budget. One that the topology does not name counts as
    // of another region, so that a link that must be paid for is not used without a bound.
    bool isOtherRegion(const DataCentreId&) const;

private:
    using Refusals = std::vector<PoolRefusal>;

    const PoolState* ownState(const std::vector<PoolState>&) const;
    // The longest wait that another pool may have; empty where no other pool should be tried.
    std::optional<Duration> longestWaitAfter(const Refusals&, const std::vector<PoolState>&) const;
    // A pool elsewhere whose wait is at most `within` its region or `across` regions; charges the link for the latter.
    std::optional<PoolChoice> chooseElsewhere(const std::vector<PoolState>&, const Refusals&, Duration within,
        Duration across, ByteCount expectedBytes, LinkBudget&, DecisionContext);
    std::optional<PoolChoice> pick(const std::vector<PoolState>&, const Refusals&, bool inOtherRegion,
        Duration longestWait, Duration oldest, RandomEngine&) const;

    TopologyDeclaration m_topology;
    DataCentreId m_own;
    std::optional<RegionId> m_ownRegion;
    SpillLimits m_limits;
    std::optional<TimePoint> m_lastTrial;
};

} // namespace dogwoodhall
