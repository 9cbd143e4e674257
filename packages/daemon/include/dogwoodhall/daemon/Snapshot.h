#pragma once

#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/dispatch/Directory.h"
#include "dogwoodhall/dispatch/FleetView.h"
#include "dogwoodhall/routing/PoolEligibility.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

// The member that holds a pool's queue and counts its slots in use.
struct PoolHome {
    MemberId member;
    NetworkAddress peerAddress;
    DataCentreId dataCentre;
};

// State that the control thread publishes to the traffic threads. Immutable.
struct Snapshot {
    Revision revision;
    RouteTable routes;
    TopologyDeclaration topology;
    std::uint64_t hostListVersion = 0;
    std::set<HostId> leavingUpstreamHosts; // From the host list.
    // Pools whose home is another member. Requests for any other pool are placed by this process.
    std::unordered_map<PoolId, PoolHome> remoteHomes;
    std::vector<PoolId> ownPools; // Pools whose home is this member.
    struct ServicePool {
        DataCentreId dataCentre;
        // Has a live home or belongs to this data centre, and has an endpoint whose host is not leaving.
        bool isReachable = true;
    };
    std::map<ServiceId, std::vector<ServicePool>> poolsOf; // Only eligible ones.
    PoolEligibility eligibility; // By the records in force.
    std::map<MemberId, PoolHome> members; // Other known members, by id.
    std::set<IpAddress> memberIps; // Addresses from which peers may connect.
    // Routes, services and endpoints if upstreams register themselves. Null otherwise, and until the first routing
    // document has been read.
    std::shared_ptr<const Directory> directory;
    FleetView fleet; // For budgets that all members share.
    bool acceptsAnyPeer = false; // Set if there is no list of members: peers may connect from any address.
    bool isReady = false;
    bool isDraining = false;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

} // namespace dogwoodhall
