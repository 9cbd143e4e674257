#pragma once

#include "dogwoodhall/dispatch/Directory.h"

#include <vector>

namespace dogwoodhall {

// The properties of a request that placement depends on.
struct EndpointQuery {
    const RouteDeclaration* route = nullptr;
    // The same route in the latest directory, or nullptr if it was removed. Valid until the next directory is applied.
    const RouteDeclaration* latestRoute = nullptr;
    const DirectoryService* service = nullptr;
    std::vector<EndpointId> tried;
    TimePoint goalDeadline; // A response by then meets the latency goal.
    TimePoint deadline; // A response after this is useless.
};

} // namespace dogwoodhall
