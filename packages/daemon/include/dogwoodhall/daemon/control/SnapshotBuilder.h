#pragma once

#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/configuration/LapsedEndpoints.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/control/RecordSource.h"
#include "dogwoodhall/daemon/control/StatusReport.h"
#include "dogwoodhall/declarations/Settings.h"
#include "dogwoodhall/fleet/Fleet.h"
#include "dogwoodhall/fleet/FleetCensus.h"

#include <set>
#include <vector>

namespace dogwoodhall {

// Builds snapshots and pool homes from the control thread's state. Holds references to state owned by the control
// thread. packages/daemon/bench measures the cost of each part.
class SnapshotBuilder {
public:
    SnapshotBuilder(const Settings&, const ConfigurationInForce&, const HostList&);

    // Leaves isReady and isDraining to the caller.
    Snapshot build(const Fleet&) const;
    // Adds the directory of routes, services and endpoints, and the members that share budgets. Used if
    // upstreams register themselves.
    void addDirectory(Snapshot&, const Fleet&, FleetCensus&, const LapsedEndpoints&, TimePoint now) const;

    // Entry hosts in the host list, including this one.
    std::vector<ListedHost> listedEntryHosts() const;
    // Members in the host list, in its order, without this member and without hosts that the fleet does not know.
    std::vector<const Member*> knownEntryHosts(const Fleet&) const;
    std::set<HostId> leavingUpstreamHosts() const;
    // The pools of the configured services, ordered by service and data centre.
    std::vector<PlacedPool> placedPools(const Fleet&, const std::set<HostId>& leaving) const;

private:
    void addHomes(Snapshot&, const Fleet&) const;

    const Settings& m_settings;
    const ConfigurationInForce& m_configuration;
    const HostList& m_hosts;
};

} // namespace dogwoodhall
