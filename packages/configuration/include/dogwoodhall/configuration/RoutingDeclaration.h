#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall {

// A service that receives part of a route's requests.
struct RoutePart {
    ServiceId service;
    std::uint32_t weight = 1; // Relative to the other parts of the route.

    friend bool operator==(const RoutePart&, const RoutePart&) = default;
};

// A host name and path prefix, and the treatment of requests that match them.
struct RouteDeclaration {
    RouteId id;
    std::string hostName;
    std::string pathPrefix; // Begins and ends with a slash.
    bool isIdempotent = false;
    bool isDownload = false; // Large answers; idempotent.
    Duration timeout {}; // From the arrival of the request to the end of its answer.
    Duration latencyGoal {}; // Counted from the caller's first attempt; a later answer has little value.
    unsigned maxAttempts = 1; // Number of endpoints that may run one request.
    unsigned rank = 0; // 0 is the most urgent.
    std::vector<RoutePart> parts; // At least one.
    // The only regions in which its requests may be served. Empty if all regions are allowed.
    std::vector<RegionId> allowedRegions;

    friend bool operator==(const RouteDeclaration&, const RouteDeclaration&) = default;
};

// A service whose endpoints register themselves.
struct UpstreamDeclaration {
    ServiceId id;
    std::string healthPath;
    std::uint32_t maxConnections = 1; // Connections that each endpoint accepts from all entry hosts together.
    Duration warmUpTime {}; // After the start of an endpoint, during which it is cold.
    // Requests that a cold endpoint tolerates, from all entry hosts together. Empty if there is no limit.
    std::optional<double> coldRequestsPerSecond {};

    friend bool operator==(const UpstreamDeclaration&, const UpstreamDeclaration&) = default;
};

// Limits on requests of callers and on the idle time of their connections.
struct CallerBounds {
    ByteCount headerBytes { 16 * 1024 };
    ByteCount bodyBytes { 64ULL * 1024 * 1024 };
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);

    friend bool operator==(const CallerBounds&, const CallerBounds&) = default;
};

// All routes and services in one versioned document, for platforms that publish them in this form.
struct RoutingDeclaration {
    std::uint64_t version = 0; // Increases with each change; a lower version never replaces a higher one.
    std::vector<RouteDeclaration> routes;
    std::vector<UpstreamDeclaration> upstreams;
    CallerBounds callers;

    friend bool operator==(const RoutingDeclaration&, const RoutingDeclaration&) = default;
};

} // namespace dogwoodhall
