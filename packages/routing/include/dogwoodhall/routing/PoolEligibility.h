#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"
#include "dogwoodhall/core/Ids.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace dogwoodhall {

// Why a service's endpoints in a data centre are not sent anything new.
enum class PoolExclusion : std::uint8_t {
    OutsideAllowedRegions,
    Evacuated,
};

// "outside-allowed-regions" or "evacuated".
const char* toString(PoolExclusion);

// Decides in which data centres the requests of a service may be placed, and to which members they may be forwarded.
// Every choice of a pool and every slot of a pool is bound by it. Immutable.
//
// A data centre that the topology does not declare has no region, so that a service with allowed regions does not use
// it.
class PoolEligibility {
public:
    explicit PoolEligibility(TopologyDeclaration = {}, std::set<DataCentreId> evacuated = {});

    // Empty if requests may be placed there.
    std::optional<PoolExclusion> exclusionOf(const ServiceDeclaration&, const DataCentreId&) const;

    // Returns whether a member in data centre `from`, to which the caller is connected, may forward a request of the
    // service to a member in data centre `to`: one in an allowed region or in its own region.
    bool mayForward(const ServiceDeclaration&, const DataCentreId& from, const DataCentreId& to) const;

    // Allowed regions of the service that no data centre is in.
    std::vector<RegionId> unknownRegions(const ServiceDeclaration&) const;
    // Returns whether one of the service's endpoints is in a region that it allows.
    bool hasAllowedEndpoint(const ServiceDeclaration&) const;

    const std::set<DataCentreId>& evacuated() const { return m_evacuated; }

private:
    bool isAllowed(const ServiceDeclaration&, const DataCentreId&) const;

    TopologyDeclaration m_topology;
    std::set<DataCentreId> m_evacuated;
};

} // namespace dogwoodhall
