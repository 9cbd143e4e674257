#pragma once

#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <string>
#include <vector>

namespace dogwoodhall {

// The endpoints of the route's service in one data centre.
struct ExplainedPool {
    PoolId id;
    std::vector<EndpointDeclaration> endpoints;
    std::string reason; // Why the pool has its place in the order.
};

// What a request would meet, and why. The route is the one that RouteTable finds.
struct Explanation {
    std::optional<Route> route; // Empty: no service matches.
    std::string serviceReason;
    std::string ruleReason;
    std::vector<std::string> treatment; // One sentence for each property of the route.
    std::vector<ExplainedPool> pools; // In the order in which an entry host in `own` prefers them.
};

// `own` is the entry host's data centre. Without it, or without a topology that declares it, pools come in order of
// their ids.
Explanation explain(const std::vector<ServiceDeclaration>&, const TopologyDeclaration&, const RouteQuery&,
    const std::optional<DataCentreId>& own);

} // namespace dogwoodhall
