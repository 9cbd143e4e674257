#pragma once

#include "dogwoodhall/fleet/Fleet.h"

namespace dogwoodhall {

// Limits of a fleet whose records come from a registry. In a large fleet one member per data centre watches the
// registry and forwards changes at once, because each registry call has a cost. A region whose calls the registry
// refuses learns of changes from another region within a second.
inline constexpr FleetLimits registryFleetLimits {
    .otherRegionPeriods = 2,
    // With six data centres, each then hears from the others within 0.1 s on average, at any fleet size.
    .remoteExchangesPerDataCentre = 5,
    .watchersPerDataCentre = 1,
    // Holds the entries of 100 endpoints, so that a release or many lapsed entries fit into one exchange.
    .maxRecordBytes = ByteCount(48 * 1024),
    // The watchers of two data centres read a change within 0.4 s of each other. With the wait for an exchange and the
    // forwarding, a data centre that the registry refuses has a change within 2 s.
    .records = { .maxBranches = 4,
        .arrivalTime = std::chrono::milliseconds(300),
        .remoteArrivalTime = std::chrono::milliseconds(500) },
};

} // namespace dogwoodhall
