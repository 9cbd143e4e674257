#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/core/WorkClass.h"

#include <functional>
#include <optional>
#include <vector>

namespace dogwoodhall {

// An endpoint that may take one more request, as seen by a placement policy.
struct EndpointCandidate {
    EndpointId id;
    SlotCount slots;
    SlotCount inUse; // Requests of this pool in flight there.
    std::optional<SlotCount> reportedInUse; // From the last load report; may be stale.
    double weight = 1; // Below 1 while the endpoint is warming up, slow or failing.
};

// Returns the index of the chosen candidate, or nullopt if none is good enough and the request should wait.
using PlacementPolicy
    = std::function<std::optional<std::size_t>(const std::vector<EndpointCandidate>&, WorkClass, DecisionContext)>;

// Chooses the endpoint with the lowest weighted utilisation; ties are broken at random.
PlacementPolicy leastLoaded();

// Chooses an endpoint at random with a probability proportional to slots times weight.
PlacementPolicy randomEndpoint();

// Power of two choices: the less loaded of two random endpoints by their last reported load. An endpoint without a
// report counts as idle.
PlacementPolicy twoChoicesByReportedLoad();

// Power of two choices: the less loaded of two random endpoints by this pool's own requests in flight.
PlacementPolicy twoChoicesByOwnRequests();

} // namespace dogwoodhall
