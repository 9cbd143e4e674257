#pragma once

#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/configuration/LapsedEndpoints.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/control/RecordSource.h"
#include "dogwoodhall/daemon/control/StatusReport.h"
#include "dogwoodhall/declarations/Settings.h"
#include "dogwoodhall/fleet/Fleet.h"

#include <set>
#include <vector>

namespace dogwoodhall {

// Puts together what the control thread knows: the homes of the pools in force, and snapshots. Refers to state that its
// owner keeps. What each part costs: packages/daemon/bench.
class SnapshotBuilder {
public:
    SnapshotBuilder(const Settings&, const ConfigurationInForce&, const HostList&);

    // Without readiness and draining, which are the caller's.
    Snapshot build(const Fleet&) const;
    // Where upstreams register themselves: routes, services and endpoints, and the members that share in budgets.
    void addDirectory(Snapshot&, const Fleet&, const LapsedEndpoints&, TimePoint now) const;

    // Entry hosts of the host list, this one included.
    std::vector<ListedHost> listedEntryHosts() const;
    // Members of the host list, in its order. This member is not among them, and neither is one that was never heard
    // of.
    std::vector<const Member*> knownEntryHosts(const Fleet&) const;
    std::set<HostId> leavingUpstreamHosts() const;
    // The pools of the services in force, by service and data centre.
    std::vector<PlacedPool> placedPools(const Fleet&, const std::set<HostId>& leaving) const;

private:
    void addHomes(Snapshot&, const Fleet&) const;

    const Settings& m_settings;
    const ConfigurationInForce& m_configuration;
    const HostList& m_hosts;
};

} // namespace dogwoodhall
