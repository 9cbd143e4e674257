#pragma once

#include "dogwoodhall/configuration/RoutingDeclaration.h"

#include <map>
#include <vector>

namespace dogwoodhall {

// Distributes the requests of each route over its parts in proportion to their weights: smooth weighted round robin,
// so that any run of requests is within one of its share. Routes are known by id; changed weights start anew.
class SplitTurns {
public:
    // The route must have a part.
    const ServiceId& next(const RouteDeclaration&);

private:
    struct Turns {
        std::vector<RoutePart> parts;
        std::vector<std::int64_t> credit;
    };

    std::map<RouteId, Turns> m_turns;
};

} // namespace dogwoodhall
