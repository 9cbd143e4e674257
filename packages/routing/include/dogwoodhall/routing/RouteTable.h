#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"

#include <optional>
#include <string_view>
#include <vector>

namespace dogwoodhall {

// The parts of a request that routing looks at.
struct RouteQuery {
    std::string_view hostName; // Without port.
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
// wins; its first matching rule applies. Immutable.
class RouteTable {
public:
    explicit RouteTable(std::vector<ServiceDeclaration> services = {});

    std::optional<Route> find(const RouteQuery&) const;
    const ServiceDeclaration* service(const ServiceId&) const;
    const std::vector<ServiceDeclaration>& services() const { return m_services; }

private:
    std::vector<ServiceDeclaration> m_services;
};

// True for the methods that HTTP defines as safe: GET, HEAD and OPTIONS.
bool isIdempotentMethod(std::string_view method);

} // namespace dogwoodhall
