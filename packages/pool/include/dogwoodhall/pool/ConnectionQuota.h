#pragma once

#include "dogwoodhall/core/Units.h"

#include <cstddef>
#include <cstdint>

namespace dogwoodhall {

// The parties that share the connections of an endpoint.
struct ConnectionQuota {
    std::uint32_t maxConnections = 0; // Accepted by the endpoint from all entry hosts together.
    SlotCount requests; // Concurrent requests from the pool's home: slots plus allowance.
    std::size_t members = 1; // Number of entry hosts, including this one.
    std::uint32_t threads = 1; // Traffic threads per entry host.
};

// Number of idle connections to the endpoint that one traffic thread may keep. One connection is reserved for health
// probes, and one for each request that the home may have in flight. Half of the rest is for the threads of the home,
// up to the number that they can use; the other half is divided among all members, which use the endpoint occasionally
// for permits and local placement. Where a share is below one, connections are closed after use: opening a connection
// costs a request less than having it refused because the endpoint is at its limit.
std::size_t idleConnectionsAtHome(const ConnectionQuota&);
std::size_t idleConnectionsElsewhere(const ConnectionQuota&);

} // namespace dogwoodhall
