#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/core/WorkClass.h"

#include <functional>
#include <optional>
#include <vector>

namespace dogwoodhall {

// An endpoint as placement sees it: only endpoints that may take one more request are offered.
struct EndpointCandidate {
    EndpointId id;
    SlotCount slots;
    SlotCount inUse; // Requests that this pool has there now.
    std::optional<SlotCount> reportedInUse; // Last load report; stale.
    double weight = 1; // Below 1 while the endpoint is cold, slow or failing.
};

// Picks one of the candidates, by index. Empty: none is good enough now, and the request waits.
using PlacementPolicy
    = std::function<std::optional<std::size_t>(const std::vector<EndpointCandidate>&, WorkClass, DecisionContext)>;

// The endpoint with the lowest share of its slots in use, weight considered; ties are broken at random.
PlacementPolicy leastInUse();

// Any endpoint, with a probability in proportion to slots and weight.
PlacementPolicy randomEndpoint();

// The less loaded of two endpoints drawn at random, by the load that they last reported. One without a report counts
// as idle.
PlacementPolicy twoChoicesOnReports();

// The less loaded of two endpoints drawn at random, by the caller's own requests there.
PlacementPolicy twoChoicesOnOutstanding();

} // namespace dogwoodhall
