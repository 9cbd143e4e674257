#pragma once

#include "dogwoodhall/configuration/RoutingDeclaration.h"

#include <map>
#include <vector>

namespace dogwoodhall {

// Splits the requests of each route over its parts in proportion to their weights by smooth weighted round robin: over
// any sequence of requests each part is within one request of its share. Routes are identified by id; a change of
// weights resets the rotation.
class WeightedRoundRobin {
public:
    // The route must have at least one part.
    const ServiceId& next(const RouteDeclaration&);
    // Returns what next() would return, and leaves the rotation as it is.
    const ServiceId& peek(const RouteDeclaration&) const;

private:
    struct Turns {
        std::vector<RoutePart> parts;
        std::vector<std::int64_t> credit;

        // Returns the index of the next part.
        std::size_t advance(const RouteDeclaration&);
    };

    std::map<RouteId, Turns> m_turns;
};

} // namespace dogwoodhall
