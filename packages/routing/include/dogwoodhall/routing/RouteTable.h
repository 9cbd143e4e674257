#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/routing/HostPathIndex.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

// The properties of a request that determine its route.
struct RouteQuery {
    std::string_view hostName; // Without port; case-insensitive.
    std::string_view path; // Without the query string.
    std::string_view method;
};

// Destination and handling of a request.
struct Route {
    ServiceId service;
    RuleId rule;
    bool isIdempotent = false;
    std::optional<WorkClass> workClass;
    Priority priority = Priority::Normal;
    Duration deadline {};
};

// Maps requests to services and rules. Chooses the service with a matching host name and the longest matching path
// prefix, or the first of several equal ones, and applies its first matching rule. Immutable; copies share the
// declarations.
class RouteTable {
public:
    using Services = std::vector<std::shared_ptr<const ServiceDeclaration>>;

    RouteTable() = default;
    explicit RouteTable(Services);
    explicit RouteTable(const std::vector<ServiceDeclaration>&);

    std::optional<Route> find(const RouteQuery&) const;
    const ServiceDeclaration* service(const ServiceId&) const;

private:
    void index();

    Services m_services;
    std::unordered_map<ServiceId, std::size_t> m_byId;
    HostPathIndex m_index; // Maps to indices into m_services.
};

// Returns true for the safe HTTP methods GET, HEAD and OPTIONS.
bool isIdempotentMethod(std::string_view method);

} // namespace dogwoodhall
