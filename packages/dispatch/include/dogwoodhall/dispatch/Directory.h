#pragma once

#include "dogwoodhall/configuration/EndpointRegistration.h"
#include "dogwoodhall/configuration/RoutingDeclaration.h"
#include "dogwoodhall/routing/HostPathIndex.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

// Network distance of an endpoint from this process, in order of increasing cost.
enum class Distance : std::uint8_t {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

constexpr std::size_t distanceCount = 3;

// Such as "same-region".
std::string_view toString(Distance);

struct DirectoryEndpoint {
    std::shared_ptr<const EndpointRegistration> registration;
    Distance distance = Distance::OtherRegion;
};

struct DirectoryService {
    UpstreamDeclaration declaration;
    std::vector<DirectoryEndpoint> endpoints; // Endpoints that accept work, ordered by id.
};

// Immutable snapshot of routes, services and endpoints, as seen from one data centre.
class Directory {
public:
    class Builder;

    // Returns the route that matches the host name and has the longest matching path prefix, or nullptr.
    const RouteDeclaration* route(const RouteQuery&) const;
    // Returns the route with this id, or nullptr.
    const RouteDeclaration* route(const RouteId&) const;
    const std::vector<RouteDeclaration>& routes() const { return m_routing->routes; }
    const DirectoryService* service(const ServiceId&) const;
    const std::map<ServiceId, DirectoryService>& services() const { return m_services; }
    const CallerBounds& callers() const { return m_routing->callers; }
    // Returns nullptr if the settings do not name the region of the data centre.
    const RegionId* regionOf(const DataCentreId&) const;
    // Data centres whose endpoints must not be sent anything new.
    const std::set<DataCentreId>& evacuated() const { return m_evacuated; }
    std::uint64_t version() const { return m_routing->version; }
    std::size_t endpointCount() const { return m_endpointCount; }

private:
    Distance distance(const DataCentreId& from, const DataCentreId& to) const;

    std::shared_ptr<const RoutingDeclaration> m_routing;
    HostPathIndex m_index; // Maps to indices into the routes.
    std::unordered_map<RouteId, std::size_t> m_routesById; // Likewise.
    std::map<DataCentreId, RegionId> m_regions;
    std::set<DataCentreId> m_evacuated;
    std::map<ServiceId, DirectoryService> m_services;
    std::size_t m_endpointCount = 0;
};

class Directory::Builder {
public:
    Builder& ownDataCentre(DataCentreId id) { return m_ownDataCentre = std::move(id), *this; }
    Builder& regions(std::map<DataCentreId, RegionId> regions) { return m_regions = std::move(regions), *this; }
    Builder& routing(std::shared_ptr<const RoutingDeclaration> routing)
    {
        return m_routing = std::move(routing), *this;
    }
    Builder& endpoints(std::vector<std::shared_ptr<const EndpointRegistration>> endpoints)
    {
        return m_endpoints = std::move(endpoints), *this;
    }

    Builder& evacuated(std::set<DataCentreId> dataCentres) { return m_evacuated = std::move(dataCentres), *this; }

    // Requires a routing declaration. Omits endpoints that are leaving and endpoints of undeclared services.
    std::shared_ptr<const Directory> build() const;

private:
    DataCentreId m_ownDataCentre;
    std::map<DataCentreId, RegionId> m_regions;
    std::shared_ptr<const RoutingDeclaration> m_routing;
    std::vector<std::shared_ptr<const EndpointRegistration>> m_endpoints;
    std::set<DataCentreId> m_evacuated;
};

} // namespace dogwoodhall
