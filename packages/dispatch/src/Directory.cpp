#include "dogwoodhall/dispatch/Directory.h"

#include <cassert>

namespace dogwoodhall {

const RouteDeclaration* Directory::route(const RouteQuery& query) const
{
    const auto position = m_index.find(query.hostName, query.path);
    return position ? &m_routing->routes[*position] : nullptr;
}

const DirectoryService* Directory::service(const ServiceId& id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

std::shared_ptr<const Directory> Directory::Builder::build() const
{
    assert(m_routing);
    auto directory = std::make_shared<Directory>();
    directory->m_routing = m_routing;
    for (std::size_t n = 0; n < m_routing->routes.size(); ++n)
        directory->m_index.add(m_routing->routes[n].hostName, m_routing->routes[n].pathPrefix, n);
    for (const auto& upstream : m_routing->upstreams)
        directory->m_services[upstream.id].declaration = upstream;
    for (const auto& endpoint : m_endpoints) {
        const auto service = directory->m_services.find(endpoint->service);
        if (endpoint->isLeaving || service == directory->m_services.end())
            continue;
        service->second.endpoints.push_back({ endpoint, distanceTo(endpoint->dataCentre) });
        ++directory->m_endpointCount;
    }
    return directory;
}

Distance Directory::Builder::distanceTo(const DataCentreId& id) const
{
    if (id == m_ownDataCentre)
        return Distance::SameDataCentre;
    const auto own = m_regions.find(m_ownDataCentre);
    const auto other = m_regions.find(id);
    const bool isSameRegion = own != m_regions.end() && other != m_regions.end() && own->second == other->second;
    return isSameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

} // namespace dogwoodhall
