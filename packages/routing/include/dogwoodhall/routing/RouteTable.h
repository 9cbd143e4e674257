#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/core/HostName.h"

#include <functional>
#include <map>
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
// wins, the first of several equal ones; its first matching rule applies. A look-up takes a search in a sorted map for
// each segment of the path, whatever the number of services. Immutable. Copies share the declarations.
class RouteTable {
public:
    using Services = std::vector<std::shared_ptr<const ServiceDeclaration>>;

    RouteTable() = default;
    explicit RouteTable(Services);
    explicit RouteTable(const std::vector<ServiceDeclaration>&);

    std::optional<Route> find(const RouteQuery&) const;
    const ServiceDeclaration* service(const ServiceId&) const;

private:
    // Positions in m_services, by path prefix, of the services that accept the same host name.
    using Prefixes = std::map<std::string, std::size_t, std::less<>>;

    void index();
    static std::optional<std::size_t> longestMatch(const Prefixes&, std::string_view path);
    const ServiceDeclaration* match(const RouteQuery&) const;

    Services m_services;
    std::unordered_map<ServiceId, std::size_t> m_byId;
    std::map<std::string, Prefixes, HostNameLess> m_byHostName;
    Prefixes m_forAnyHost;
};

// True for the methods that HTTP defines as safe: GET, HEAD and OPTIONS.
bool isIdempotentMethod(std::string_view method);

} // namespace dogwoodhall
