#include "dogwoodhall/routing/RouteTable.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

bool matchesRule(const RuleDeclaration& rule, const RouteQuery& query)
{
    const auto& methods = rule.methods;
    const bool methodMatches
        = methods.empty() || std::find(methods.begin(), methods.end(), query.method) != methods.end();
    return methodMatches && matchesPathPrefix(query.path, rule.pathPrefix);
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
    index();
}

RouteTable::RouteTable(const std::vector<ServiceDeclaration>& services)
{
    m_services.reserve(services.size());
    for (const auto& service : services)
        m_services.push_back(std::make_shared<const ServiceDeclaration>(service));
    index();
}

void RouteTable::index()
{
    for (std::size_t n = 0; n < m_services.size(); ++n) {
        const auto& service = *m_services[n];
        m_byId.emplace(service.id, n);
        for (const auto& hostName : service.hostNames)
            m_index.add(hostName, service.pathPrefix, n);
        if (service.hostNames.empty())
            m_index.add({}, service.pathPrefix, n);
    }
}

std::optional<Route> RouteTable::find(const RouteQuery& query) const
{
    const auto position = m_index.find(query.hostName, query.path);
    if (!position)
        return std::nullopt;
    const ServiceDeclaration& service = *m_services[*position];
    for (const auto& rule : service.rules) {
        if (matchesRule(rule, query))
            return toRoute(service, rule, query);
    }
    return toRoute(service, RuleDeclaration {}, query);
}

const ServiceDeclaration* RouteTable::service(const ServiceId& id) const
{
    auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : m_services[it->second].get();
}

bool isIdempotentMethod(std::string_view method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

} // namespace dogwoodhall
