#include "dogwoodhall/routing/RouteTable.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

// A prefix matches whole path segments: "/a" matches "/a" and "/a/b", not "/ab".
bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool matchesHost(const ServiceDeclaration& service, std::string_view hostName)
{
    const auto& names = service.hostNames;
    return names.empty() || std::find(names.begin(), names.end(), hostName) != names.end();
}

bool matchesRule(const RuleDeclaration& rule, const RouteQuery& query)
{
    const auto& methods = rule.methods;
    const bool methodMatches
        = methods.empty() || std::find(methods.begin(), methods.end(), query.method) != methods.end();
    return methodMatches && matchesPrefix(query.path, rule.pathPrefix);
}

Route toRoute(const ServiceDeclaration& service, const RuleDeclaration& rule, const RouteQuery& query)
{
    return { service.id, rule.id, rule.idempotent.value_or(isIdempotentMethod(query.method)), rule.workClass,
        rule.priority, rule.deadline };
}

} // namespace

RouteTable::RouteTable(Services services)
    : m_services(std::move(services))
{
}

RouteTable::RouteTable(const std::vector<ServiceDeclaration>& services)
{
    m_services.reserve(services.size());
    for (const auto& service : services)
        m_services.push_back(std::make_shared<const ServiceDeclaration>(service));
}

std::optional<Route> RouteTable::find(const RouteQuery& query) const
{
    const ServiceDeclaration* best = nullptr;
    for (const auto& service : m_services) {
        if (!matchesHost(*service, query.hostName) || !matchesPrefix(query.path, service->pathPrefix))
            continue;
        if (!best || service->pathPrefix.size() > best->pathPrefix.size())
            best = service.get();
    }
    if (!best)
        return std::nullopt;
    for (const auto& rule : best->rules) {
        if (matchesRule(rule, query))
            return toRoute(*best, rule, query);
    }
    return toRoute(*best, RuleDeclaration {}, query);
}

const ServiceDeclaration* RouteTable::service(const ServiceId& id) const
{
    auto it
        = std::find_if(m_services.begin(), m_services.end(), [&](const auto& service) { return service->id == id; });
    return it == m_services.end() ? nullptr : it->get();
}

bool isIdempotentMethod(std::string_view method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

} // namespace dogwoodhall
