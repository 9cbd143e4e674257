#pragma once

#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <map>
#include <memory>
#include <set>

namespace dogwoodhall {

// What the control thread publishes to the traffic threads. Immutable.
struct Snapshot {
    Revision revision;
    RouteTable routes;
    TopologyDeclaration topology;
    std::map<HostId, bool> leavingUpstreamHosts; // From the host list; true while leaving.
    bool isReady = false; // A configuration is in force.
    bool isDraining = false;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

} // namespace dogwoodhall
