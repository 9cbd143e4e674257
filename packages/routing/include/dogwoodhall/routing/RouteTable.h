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

// The parts of a request that routing looks at.
struct RouteQuery {
    std::string_view hostName; // Without port, in capital or small letters.
    std::string_view path; // Without query.
    std::string_view method;
};

// Where a request goes and how it is treated.
struct Route {
    ServiceId service;
    RuleId rule;
    bool isIdempotent = false;
    std::optional<WorkClass> workClass;
    Priority priority = Priority::Normal;
    Duration deadline {};
};

// Maps requests to services and rules. The service with a matching host name and the longest matching path prefix
// wins, the first of several equal ones; its first matching rule applies. Immutable. Copies share the declarations.
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
    HostPathIndex m_index; // Positions in m_services.
};

// True for the methods that HTTP defines as safe: GET, HEAD and OPTIONS.
bool isIdempotentMethod(std::string_view method);

} // namespace dogwoodhall
