#include "dogwoodhall/ctl/Explanation.h"

#include "FieldChanges.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr int excludedRank = 4; // After those of preferenceOf().

// Whether the service would get the request if it were the only service.
bool matchesAlone(const ServiceDeclaration& service, const RouteQuery& query)
{
    return RouteTable({ service }).find(query).has_value();
}

// Whether the rule would apply to the request if it were the only rule.
bool appliesAlone(const RuleDeclaration& rule, const RouteQuery& query)
{
    ServiceDeclaration service;
    service.rules = { rule };
    const auto route = RouteTable({ service }).find(query);
    return route && route->rule == rule.id;
}

std::string explainService(
    const std::vector<ServiceDeclaration>& services, const ServiceDeclaration& chosen, const RouteQuery& query)
{
    std::string reason = chosen.hostNames.empty()
        ? "it accepts any host name"
        : "host name " + std::string(query.hostName) + " is one of its host names";
    reason += ", and " + std::string(query.path) + " is under its path prefix " + chosen.pathPrefix;
    std::string others;
    for (const auto& service : services) {
        if (service.id != chosen.id && matchesAlone(service, query))
            others += (others.empty() ? "" : ", ") + service.id.value() + " (" + service.pathPrefix + ")";
    }
    if (!others.empty())
        reason += ", the longest among the services that match; the others are " + others;
    return reason;
}

std::string explainMismatch(RuleDeclaration rule, const RouteQuery& query)
{
    const auto methods = std::exchange(rule.methods, {});
    if (appliesAlone(rule, query))
        return "rule " + rule.id.value() + " is for " + listOf(methods, "method");
    return "rule " + rule.id.value() + " is for paths under " + rule.pathPrefix;
}

std::string explainRule(const ServiceDeclaration& service, const Route& route, const RouteQuery& query)
{
    std::string reason;
    std::string skipped;
    for (const auto& rule : service.rules) {
        if (rule.id == route.rule) {
            reason = "it is the first that matches: it is for " + listOf(rule.methods, "method") + " and paths under "
                + rule.pathPrefix;
            break;
        }
        skipped += "; " + explainMismatch(rule, query);
    }
    if (reason.empty())
        reason = service.rules.empty() ? "the service has no rules" : "no rule of the service matches";
    return reason + skipped;
}

std::vector<std::string> explainHandling(const Route& route, const ServiceDeclaration& service)
{
    std::vector<std::string> handling;
    handling.push_back(route.isIdempotent ? "It is idempotent: it may be retried and hedged."
                                          : "It is not idempotent: it is executed at most once.");
    if (!route.workClass)
        handling.emplace_back("Whether it is long work follows from measured duration and bytes.");
    else
        handling.push_back("It is declared as " + toText(route.workClass) + " work.");
    handling.push_back(route.priority == Priority::Low ? "Its priority is low: it is refused first when a queue fills."
                                                       : "Its priority is normal.");
    handling.push_back("Its answer has to start within " + toText(route.deadline) + ", queueing included.");
    if (!service.allowedRegions.empty())
        handling.push_back("It is served only in " + listOf(toTexts(service.allowedRegions), "region") + ".");
    return handling;
}

const DataCentreDeclaration* findDataCentre(const TopologyDeclaration& topology, const DataCentreId& id)
{
    const auto& list = topology.dataCentres;
    auto it = std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.id == id; });
    return it == list.end() ? nullptr : &*it;
}

struct Preference {
    int rank;
    std::string reason;
};

Preference preferenceOf(const DataCentreId& dataCentre, const TopologyDeclaration& topology,
    const std::optional<DataCentreId>& ownDataCentre)
{
    if (!ownDataCentre)
        return { 0, "" };
    if (dataCentre == *ownDataCentre)
        return { 0, "the entry host's own data centre" };
    const auto* ownDeclaration = findDataCentre(topology, *ownDataCentre);
    const auto* otherDeclaration = findDataCentre(topology, dataCentre);
    if (!ownDeclaration || !otherDeclaration)
        return { 3, "not in the topology" };
    if (ownDeclaration->region == otherDeclaration->region)
        return { 1, "the same region, " + toText(topology.delayWithinRegion) + " away" };
    return { 2,
        "region " + otherDeclaration->region.value() + ", " + toText(topology.delayBetweenRegions)
            + " away over a metered link" };
}

std::vector<ExplainedPool> explainPools(const ServiceDeclaration& service, const PoolEligibility& eligibility,
    const TopologyDeclaration& topology, const std::optional<DataCentreId>& ownDataCentre)
{
    std::map<DataCentreId, ExplainedPool> byDataCentre;
    for (const auto& endpoint : service.endpoints)
        byDataCentre[endpoint.dataCentre].endpoints.push_back(endpoint);
    std::vector<std::pair<int, ExplainedPool>> ranked;
    for (auto& [dataCentre, pool] : byDataCentre) {
        const auto preference = preferenceOf(dataCentre, topology, ownDataCentre);
        pool.id = { service.id, dataCentre };
        pool.reason = preference.reason;
        pool.exclusion = eligibility.exclusionOf(service, dataCentre);
        ranked.emplace_back(pool.exclusion ? excludedRank : preference.rank, std::move(pool));
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<ExplainedPool> pools;
    for (auto& [rank, pool] : ranked)
        pools.push_back(std::move(pool));
    return pools;
}

} // namespace

Explanation explain(const std::vector<ServiceDeclaration>& services, const PoolEligibility& eligibility,
    const TopologyDeclaration& topology, const RouteQuery& query, const std::optional<DataCentreId>& ownDataCentre)
{
    Explanation explanation;
    const RouteTable table(services);
    explanation.route = table.find(query);
    if (!explanation.route) {
        explanation.serviceReason = "no service has this host name and a path prefix that the path is under";
        return explanation;
    }
    const auto& service = *table.service(explanation.route->service);
    explanation.serviceReason = explainService(services, service, query);
    explanation.ruleReason = explainRule(service, *explanation.route, query);
    explanation.handling = explainHandling(*explanation.route, service);
    explanation.pools = explainPools(service, eligibility, topology, ownDataCentre);
    return explanation;
}

} // namespace dogwoodhall
