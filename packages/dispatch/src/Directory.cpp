#include "dogwoodhall/dispatch/Directory.h"

#include <cassert>

namespace dogwoodhall {

std::string_view toString(Distance distance)
{
    switch (distance) {
    case Distance::SameDataCentre:
        return "same-data-centre";
    case Distance::SameRegion:
        return "same-region";
    case Distance::OtherRegion:
        break;
    }
    return "other-region";
}

const RouteDeclaration* Directory::route(const RouteQuery& query) const
{
    const auto position = m_index.find(query.hostName, query.path);
    return position ? &m_routing->routes[*position] : nullptr;
}

const RouteDeclaration* Directory::route(const RouteId& id) const
{
    const auto it = m_routesById.find(id);
    return it == m_routesById.end() ? nullptr : &m_routing->routes[it->second];
}

const DirectoryService* Directory::service(const ServiceId& id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

const RegionId* Directory::regionOf(const DataCentreId& id) const
{
    const auto it = m_regions.find(id);
    return it == m_regions.end() ? nullptr : &it->second;
}

Distance Directory::distance(const DataCentreId& from, const DataCentreId& to) const
{
    if (from == to)
        return Distance::SameDataCentre;
    const auto* a = regionOf(from);
    const auto* b = regionOf(to);
    return a && b && *a == *b ? Distance::SameRegion : Distance::OtherRegion;
}

std::shared_ptr<const Directory> Directory::Builder::build() const
{
    assert(m_routing);
    auto directory = std::make_shared<Directory>();
    directory->m_routing = m_routing;
    directory->m_regions = m_regions;
    directory->m_evacuated = m_evacuated;
    for (std::size_t n = 0; n < m_routing->routes.size(); ++n) {
        directory->m_index.add(m_routing->routes[n].hostName, m_routing->routes[n].pathPrefix, n);
        directory->m_routesById.emplace(m_routing->routes[n].id, n);
    }
    for (const auto& upstream : m_routing->upstreams)
        directory->m_services[upstream.id].declaration = upstream;
    std::map<DataCentreId, Distance> distances;
    const auto distanceTo = [&](const DataCentreId& id) {
        const auto [it, isNew] = distances.try_emplace(id);
        if (isNew)
            it->second = directory->distance(m_ownDataCentre, id);
        return it->second;
    };
    for (const auto& endpoint : m_endpoints) {
        const auto service = directory->m_services.find(endpoint->service);
        if (endpoint->isLeaving || service == directory->m_services.end())
            continue;
        service->second.endpoints.push_back({ endpoint, distanceTo(endpoint->dataCentre) });
        ++directory->m_endpointCount;
    }
    return directory;
}

} // namespace dogwoodhall
