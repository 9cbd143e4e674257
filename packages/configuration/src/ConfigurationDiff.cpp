#include "dogwoodhall/configuration/ConfigurationDiff.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <span>

namespace dogwoodhall {

namespace {

template <typename T> struct Field {
    const char* name;
    std::string (*text)(const T&);
};

template <typename Items, typename Text> std::string joined(const Items& items, Text text)
{
    std::string all;
    for (const auto& item : items)
        all += (all.empty() ? "" : ",") + text(item);
    return all;
}

std::string joined(const std::vector<std::string>& items)
{
    return joined(items, [](const std::string& item) { return item; });
}

std::string textOf(Duration duration) { return std::to_string(duration.count()); }

// The shortest text that reads back as the same number.
std::string textOf(Fraction fraction)
{
    std::array<char, 32> buf {};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), fraction.value()).ptr;
    return { buf.data(), end };
}

const Field<EndpointDeclaration> endpointFields[] = {
    { "host", [](const EndpointDeclaration& e) { return e.host.value(); } },
    { "dataCentre", [](const EndpointDeclaration& e) { return e.dataCentre.value(); } },
    { "address", [](const EndpointDeclaration& e) { return toString(e.address); } },
    { "slots", [](const EndpointDeclaration& e) { return std::to_string(e.slots.count()); } },
    { "maxConnections", [](const EndpointDeclaration& e) { return std::to_string(e.maxConnections); } },
};

const Field<RuleDeclaration> ruleFields[] = {
    { "methods", [](const RuleDeclaration& r) { return joined(r.methods); } },
    { "pathPrefix", [](const RuleDeclaration& r) { return r.pathPrefix; } },
    { "idempotent",
        [](const RuleDeclaration& r) { return std::string(!r.idempotent ? "" : (*r.idempotent ? "true" : "false")); } },
    { "workClass",
        [](const RuleDeclaration& r) {
            return std::string(!r.workClass ? "" : (*r.workClass == WorkClass::Long ? "long" : "short"));
        } },
    { "priority",
        [](const RuleDeclaration& r) { return std::string(r.priority == Priority::Low ? "low" : "normal"); } },
    { "deadline", [](const RuleDeclaration& r) { return textOf(r.deadline); } },
};

const Field<ServiceDeclaration> serviceFields[] = {
    { "hostNames", [](const ServiceDeclaration& s) { return joined(s.hostNames); } },
    { "pathPrefix", [](const ServiceDeclaration& s) { return s.pathPrefix; } },
    { "allowedRegions",
        [](const ServiceDeclaration& s) {
            return joined(s.allowedRegions, [](const RegionId& region) { return region.value(); });
        } },
    { "limits.queuePerSlot", [](const ServiceDeclaration& s) { return std::to_string(s.limits.queuePerSlot); } },
    { "limits.longWorkShare", [](const ServiceDeclaration& s) { return textOf(s.limits.longWorkShare); } },
    { "limits.retryShare", [](const ServiceDeclaration& s) { return textOf(s.limits.retryShare); } },
    { "limits.coldRamp", [](const ServiceDeclaration& s) { return textOf(s.limits.coldRamp); } },
};

const Field<TopologyDeclaration> topologyFields[] = {
    { "dataCentres",
        [](const TopologyDeclaration& t) {
            return joined(t.dataCentres, [](const auto& item) { return item.id.value() + ":" + item.region.value(); });
        } },
    { "delayWithinRegion", [](const TopologyDeclaration& t) { return textOf(t.delayWithinRegion); } },
    { "delayBetweenRegions", [](const TopologyDeclaration& t) { return textOf(t.delayBetweenRegions); } },
    { "linkBytesPerSecond", [](const TopologyDeclaration& t) { return std::to_string(t.linkBytesPerSecond.count()); } },
};

template <typename T, std::size_t count>
std::vector<FieldChange> fieldChanges(const T& before, const T& after, const Field<T> (&fields)[count])
{
    std::vector<FieldChange> changes;
    for (const auto& field : fields) {
        auto old = field.text(before);
        auto current = field.text(after);
        if (old != current)
            changes.push_back({ field.name, std::move(old), std::move(current) });
    }
    return changes;
}

template <typename T> using ById = std::map<decltype(T::id), std::pair<const T*, const T*>>;

// Items of both sides by id; null if a side does not have the item.
template <typename T> ById<T> pairUp(std::span<const T> before, std::span<const T> after)
{
    ById<T> pairs;
    for (const auto& item : before)
        pairs[item.id].first = &item;
    for (const auto& item : after)
        pairs[item.id].second = &item;
    return pairs;
}

template <typename T, std::size_t count, typename Add>
void compare(std::span<const T> before, std::span<const T> after, const Field<T> (&fields)[count], Add add)
{
    for (const auto& [id, pair] : pairUp(before, after)) {
        if (!pair.first || !pair.second) {
            add(pair.first ? ChangeKind::Removed : ChangeKind::Added, id, std::vector<FieldChange> {});
            continue;
        }
        auto changes = fieldChanges(*pair.first, *pair.second, fields);
        if (!changes.empty())
            add(ChangeKind::Changed, id, std::move(changes));
    }
}

// The rules that both services have, in the order in which `service` tries them.
std::string commonOrder(const ServiceDeclaration& service, const ServiceDeclaration& other)
{
    std::set<RuleId> common;
    for (const auto& rule : other.rules)
        common.insert(rule.id);
    std::vector<std::string> order;
    for (const auto& rule : service.rules) {
        if (common.contains(rule.id))
            order.push_back(rule.id.value());
    }
    return joined(order);
}

} // namespace

ConfigurationDiff::ConfigurationDiff(const ConfigurationContent& before, const ConfigurationContent& after)
{
    auto topology = fieldChanges(before.topology, after.topology, topologyFields);
    if (!topology.empty())
        m_changes.emplace_back(TopologyChange { std::move(topology) });
    const auto pairs = pairUp(
        std::span<const ServiceDeclaration>(before.services), std::span<const ServiceDeclaration>(after.services));
    for (const auto& [id, pair] : pairs)
        compareServices(pair.first, pair.second);
}

void ConfigurationDiff::compareServices(const ServiceDeclaration* before, const ServiceDeclaration* after)
{
    const ServiceId& id = before ? before->id : after->id;
    if (!before || !after) {
        m_changes.emplace_back(ServiceChange { before ? ChangeKind::Removed : ChangeKind::Added, id, {} });
    } else {
        auto fields = fieldChanges(*before, *after, serviceFields);
        auto oldOrder = commonOrder(*before, *after);
        auto order = commonOrder(*after, *before);
        if (oldOrder != order)
            fields.push_back({ "ruleOrder", std::move(oldOrder), std::move(order) });
        if (!fields.empty())
            m_changes.emplace_back(ServiceChange { ChangeKind::Changed, id, std::move(fields) });
    }
    const ServiceDeclaration none;
    const auto& old = before ? *before : none;
    const auto& current = after ? *after : none;
    compare(std::span<const EndpointDeclaration>(old.endpoints),
        std::span<const EndpointDeclaration>(current.endpoints), endpointFields,
        [&](ChangeKind kind, const EndpointId& endpoint, std::vector<FieldChange> fields) {
            m_changes.emplace_back(EndpointChange { kind, id, endpoint, std::move(fields) });
        });
    compare(std::span<const RuleDeclaration>(old.rules), std::span<const RuleDeclaration>(current.rules), ruleFields,
        [&](ChangeKind kind, const RuleId& rule, std::vector<FieldChange> fields) {
            m_changes.emplace_back(RuleChange { kind, id, rule, std::move(fields) });
        });
}

} // namespace dogwoodhall
