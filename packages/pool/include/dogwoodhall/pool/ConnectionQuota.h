#pragma once

#include "dogwoodhall/core/Units.h"

#include <cstddef>
#include <cstdint>

namespace dogwoodhall {

// Who shares an endpoint's connections.
struct ConnectionQuota {
    std::uint32_t maxConnections = 0; // That the endpoint accepts from all entry hosts together.
    SlotCount requests; // That the pool's home sends to it at a time: slots and allowance.
    std::size_t members = 1; // Entry hosts, this one included.
    std::uint32_t threads = 1; // Traffic threads of each.
};

// How many unused connections to the endpoint one traffic thread may keep. One connection is set aside for health
// probes and as many as the home sends requests for those in use. Of the rest, one half is for the threads of the home,
// which keep no more than they can use, and one half is spread over all members, whose permits and local placement use
// the endpoint now and then. Where a share is below one, connections are closed after use, since a connection over the
// endpoint's limit is refused, and that costs a request more than opening one.
std::size_t idleConnectionsAtHome(const ConnectionQuota&);
std::size_t idleConnectionsElsewhere(const ConnectionQuota&);

} // namespace dogwoodhall
