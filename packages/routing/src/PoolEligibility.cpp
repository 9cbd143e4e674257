#include "dogwoodhall/routing/PoolEligibility.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

const char* toString(PoolExclusion exclusion)
{
    switch (exclusion) {
    case PoolExclusion::OutsideAllowedRegions:
        return "outside-allowed-regions";
    case PoolExclusion::Evacuated:
        break;
    }
    return "evacuated";
}

PoolEligibility::PoolEligibility(TopologyDeclaration topology, std::set<DataCentreId> evacuated)
    : m_topology(std::move(topology))
    , m_evacuated(std::move(evacuated))
{
}

std::optional<PoolExclusion> PoolEligibility::exclusionOf(
    const ServiceDeclaration& service, const DataCentreId& dataCentre) const
{
    if (!isAllowed(service, dataCentre))
        return PoolExclusion::OutsideAllowedRegions;
    if (m_evacuated.contains(dataCentre))
        return PoolExclusion::Evacuated;
    return std::nullopt;
}

bool PoolEligibility::mayForward(
    const ServiceDeclaration& service, const DataCentreId& from, const DataCentreId& to) const
{
    if (from == to || isAllowed(service, to))
        return true;
    const auto region = m_topology.regionOf(from);
    return region && region == m_topology.regionOf(to);
}

std::vector<RegionId> PoolEligibility::unknownRegions(const ServiceDeclaration& service) const
{
    std::vector<RegionId> unknown;
    const auto& known = m_topology.dataCentres;
    for (const auto& region : service.allowedRegions) {
        if (std::none_of(known.begin(), known.end(), [&](const auto& item) { return item.region == region; }))
            unknown.push_back(region);
    }
    return unknown;
}

bool PoolEligibility::hasAllowedEndpoint(const ServiceDeclaration& service) const
{
    return std::any_of(service.endpoints.begin(), service.endpoints.end(),
        [&](const EndpointDeclaration& endpoint) { return isAllowed(service, endpoint.dataCentre); });
}

bool PoolEligibility::isAllowed(const ServiceDeclaration& service, const DataCentreId& dataCentre) const
{
    const auto& allowed = service.allowedRegions;
    if (allowed.empty())
        return true;
    const auto region = m_topology.regionOf(dataCentre);
    return region && std::find(allowed.begin(), allowed.end(), *region) != allowed.end();
}

} // namespace dogwoodhall
