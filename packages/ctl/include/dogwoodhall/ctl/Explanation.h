#pragma once

#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/routing/PoolEligibility.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <string>
#include <vector>

namespace dogwoodhall {

// The endpoints of the route's service in one data centre.
struct ExplainedPool {
    PoolId id;
    std::vector<EndpointDeclaration> endpoints;
    std::string reason; // Why the pool has this position in the order.
    std::optional<PoolExclusion> exclusion; // Why requests are not placed there; empty if they may be.
};

// How a request would be routed and handled, and why. The route is the one that RouteTable finds.
struct Explanation {
    std::optional<Route> route; // Empty if no service matches.
    std::string serviceReason;
    std::string ruleReason;
    std::vector<std::string> handling; // One sentence for each property of the route.
    std::vector<ExplainedPool>
        pools; // In order of preference for an entry host in `ownDataCentre`, excluded ones last.
};

// `ownDataCentre` is the data centre of the entry host. Without it, pools are sorted by id. If the topology does not
// declare it, its pool comes first and the others are sorted by id.
Explanation explain(const std::vector<ServiceDeclaration>&, const PoolEligibility&, const TopologyDeclaration&,
    const RouteQuery&, const std::optional<DataCentreId>& ownDataCentre);

} // namespace dogwoodhall
