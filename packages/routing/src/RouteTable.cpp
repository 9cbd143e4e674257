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
            m_byHostName[hostName].emplace(service.pathPrefix, n);
        if (service.hostNames.empty())
            m_forAnyHost.emplace(service.pathPrefix, n);
    }
}

std::optional<std::size_t> RouteTable::longestMatch(const Prefixes& prefixes, std::string_view path)
{
    for (std::size_t n = path.size(); n > 0; --n) {
        const auto prefix = path.substr(0, n);
        if (!matchesPrefix(path, prefix))
            continue;
        if (auto it = prefixes.find(prefix); it != prefixes.end())
            return it->second;
    }
    return std::nullopt;
}

const ServiceDeclaration* RouteTable::match(const RouteQuery& query) const
{
    const auto any = longestMatch(m_forAnyHost, query.path);
    const auto host = m_byHostName.find(query.hostName);
    const auto named = host == m_byHostName.end() ? std::nullopt : longestMatch(host->second, query.path);
    if (!any && !named)
        return nullptr;
    if (!any || !named)
        return m_services[any ? *any : *named].get();
    const auto length = [&](std::size_t n) { return m_services[n]->pathPrefix.size(); };
    if (length(*any) == length(*named))
        return m_services[std::min(*any, *named)].get();
    return m_services[length(*any) > length(*named) ? *any : *named].get();
}

std::optional<Route> RouteTable::find(const RouteQuery& query) const
{
    const ServiceDeclaration* service = match(query);
    if (!service)
        return std::nullopt;
    for (const auto& rule : service->rules) {
        if (matchesRule(rule, query))
            return toRoute(*service, rule, query);
    }
    return toRoute(*service, RuleDeclaration {}, query);
}

const ServiceDeclaration* RouteTable::service(const ServiceId& id) const
{
    auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : m_services[it->second].get();
}

bool isIdempotentMethod(std::string_view method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

} // namespace dogwoodhall
