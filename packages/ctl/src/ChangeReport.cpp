#include "dogwoodhall/ctl/ChangeReport.h"

#include "FieldChanges.h"

#include <algorithm>
#include <functional>
#include <set>

namespace dogwoodhall {

namespace {

std::uint64_t slotsOf(const ServiceDeclaration& service)
{
    std::uint64_t slots = 0;
    for (const auto& endpoint : service.endpoints)
        slots += endpoint.slots.count();
    return slots;
}

std::string capacityOf(const ServiceDeclaration& service)
{
    std::set<DataCentreId> dataCentres;
    for (const auto& endpoint : service.endpoints)
        dataCentres.insert(endpoint.dataCentre);
    return countOf(service.endpoints.size(), "endpoint") + " with " + countOf(slotsOf(service), "slot") + " in "
        + countOf(dataCentres.size(), "data centre");
}

std::string describeRamp(const ServiceDeclaration& service)
{
    if (service.limits.coldRamp == Duration {})
        return "It receives its full share at once.";
    return "It receives its full share after " + toText(service.limits.coldRamp) + ".";
}

template <typename Item> const Item* findById(const std::vector<Item>& items, const Item& wanted)
{
    auto it = std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.id == wanted.id; });
    return it == items.end() ? nullptr : &*it;
}

// Callbacks for the differences between two lists.
template <typename Item> struct DifferenceCallbacks {
    std::function<void(const Item&)> removed;
    std::function<void(const Item&)> added;
    std::function<void(const Item&, const Item&)> changed;
};

template <typename Item>
void compareLists(
    const std::vector<Item>& before, const std::vector<Item>& after, const DifferenceCallbacks<Item>& callbacks)
{
    for (const auto& item : before) {
        if (!findById(after, item))
            callbacks.removed(item);
    }
    for (const auto& item : after) {
        const auto* old = findById(before, item);
        if (!old)
            callbacks.added(item);
        else if (!(*old == item))
            callbacks.changed(*old, item);
    }
}

// Describes the changes of a service that is in both configurations.
class ServiceChanges {
public:
    ServiceChanges(const ServiceDeclaration& before, const ServiceDeclaration& after, std::vector<Change>& changes)
        : m_before(before)
        , m_after(after)
        , m_changes(changes)
        , m_name(" of service " + after.id.value())
    {
    }

    void describe()
    {
        describeService();
        describeLimits();
        describeEndpoints();
        describeRules();
    }

private:
    void add(const std::string& kind, const std::string& id, const std::string& sentence)
    {
        m_changes.push_back({ kind, m_after.id.value(), id, sentence });
    }

    void describeService()
    {
        FieldChanges fields;
        fields.compare("hostNames", m_before.hostNames, m_after.hostNames)
            .compare("pathPrefix", m_before.pathPrefix, m_after.pathPrefix);
        if (!fields.empty()) {
            add("service", "",
                "Service " + m_after.id.value() + " matches other requests: " + fields.text()
                    + ". Requests that it no longer matches go to another matching service or are answered 404.");
        }
        if (m_before.allowedRegions != m_after.allowedRegions) {
            add("service", "",
                "Requests of service " + m_after.id.value() + " are served in "
                    + listOf(toTexts(m_after.allowedRegions), "region") + " instead of "
                    + listOf(toTexts(m_before.allowedRegions), "region") + ".");
        }
        if (slotsOf(m_before) != slotsOf(m_after)) {
            add("service", "",
                "Service " + m_after.id.value() + " can run " + countOf(slotsOf(m_after), "request")
                    + " at the same time instead of " + std::to_string(slotsOf(m_before)) + ".");
        }
    }

    void describeLimits()
    {
        FieldChanges fields;
        const auto &old = m_before.limits, &current = m_after.limits;
        fields.compare("queuePerSlot", std::uint64_t { old.queuePerSlot }, std::uint64_t { current.queuePerSlot })
            .compare("longWorkSharePercent", old.longWorkShare, current.longWorkShare)
            .compare("retrySharePercent", old.retryShare, current.retryShare)
            .compare("coldRampMs", old.coldRamp, current.coldRamp);
        if (!fields.empty()) {
            add("limits", "",
                "The limits" + m_name + " change: " + fields.text()
                    + ". They apply to requests that arrive from then on.");
        }
    }

    void describeEndpoints()
    {
        compareLists<EndpointDeclaration>(m_before.endpoints, m_after.endpoints,
            { [this](const auto& old) {
                 add("endpoint", old.id.value(),
                     "Endpoint " + old.id.value() + m_name + " in " + old.dataCentre.value()
                         + " is removed. It receives no new requests; requests in flight finish.");
             },
                [this](const auto& current) {
                    add("endpoint", current.id.value(),
                        "Endpoint " + current.id.value() + m_name + " is added in " + current.dataCentre.value()
                            + " with " + countOf(current.slots.count(), "slot") + ". " + describeRamp(m_after));
                },
                [this](const auto& old, const auto& current) { describeEndpoint(old, current); } });
    }

    void describeEndpoint(const EndpointDeclaration& old, const EndpointDeclaration& current)
    {
        FieldChanges fields;
        fields.compare("host", old.host.value(), current.host.value())
            .compare("dataCentre", old.dataCentre.value(), current.dataCentre.value())
            .compare("address", old.address, current.address)
            .compare("slots", old.slots.count(), current.slots.count())
            .compare("maxConnections", std::uint64_t { old.maxConnections }, std::uint64_t { current.maxConnections });
        std::string effect = " Requests in flight finish.";
        if (!(old.address == current.address))
            effect = " New requests go to the new address; requests in flight finish at the old one.";
        add("endpoint", current.id.value(),
            "Endpoint " + current.id.value() + m_name + " changes: " + fields.text() + "." + effect);
    }

    void describeRules()
    {
        compareLists<RuleDeclaration>(m_before.rules, m_after.rules,
            { [this](const auto& old) {
                 add("rule", old.id.value(),
                     "Rule " + old.id.value() + m_name
                         + " is removed. Its requests meet a later matching rule, or the defaults where there is "
                           "none.");
             },
                [this](const auto& current) {
                    add("rule", current.id.value(),
                        "Rule " + current.id.value() + m_name + " is added for " + listOf(current.methods, "method")
                            + " under " + current.pathPrefix + ". It applies where no rule before it matches.");
                },
                [this](const auto& old, const auto& current) { describeRule(old, current); } });
        describeRuleOrder();
    }

    void describeRule(const RuleDeclaration& old, const RuleDeclaration& current)
    {
        FieldChanges fields;
        fields.compare("methods", old.methods, current.methods)
            .compare("pathPrefix", old.pathPrefix, current.pathPrefix)
            .compare("idempotent", old.idempotent, current.idempotent)
            .compare("workClass", old.workClass, current.workClass)
            .compare("priority", old.priority, current.priority)
            .compare("deadlineMs", old.deadline, current.deadline);
        std::string effect;
        if (old.idempotent != current.idempotent) {
            effect = !current.idempotent ? " Only GET, HEAD and OPTIONS requests may be retried and hedged."
                : *current.idempotent    ? " Requests may be retried and hedged, so that one may run more than once."
                                         : " Requests are executed at most once.";
        }
        add("rule", current.id.value(),
            "Rule " + current.id.value() + m_name + " changes: " + fields.text() + "." + effect);
    }

    void describeRuleOrder()
    {
        std::vector<std::string> before, after;
        for (const auto& rule : m_before.rules) {
            if (findById(m_after.rules, rule))
                before.push_back(rule.id.value());
        }
        for (const auto& rule : m_after.rules) {
            if (findById(m_before.rules, rule))
                after.push_back(rule.id.value());
        }
        if (before != after) {
            add("rule", "",
                "The rules" + m_name + " are tried in another order: " + toText(after) + " instead of " + toText(before)
                    + ". The first match applies.");
        }
    }

    const ServiceDeclaration& m_before;
    const ServiceDeclaration& m_after;
    std::vector<Change>& m_changes;
    std::string m_name;
};

} // namespace

std::vector<Change> describeChanges(
    const std::vector<ServiceDeclaration>& before, const std::vector<ServiceDeclaration>& after)
{
    std::vector<Change> changes;
    compareLists<ServiceDeclaration>(before, after,
        { [&](const auto& old) {
             changes.push_back({ "service", old.id.value(), "",
                 "Service " + old.id.value() + " with " + capacityOf(old)
                     + " is removed. Its requests go to another matching service or are answered 404; requests in "
                       "flight"
                       " finish." });
         },
            [&](const auto& current) {
                changes.push_back({ "service", current.id.value(), "",
                    "Service " + current.id.value() + " is added: requests for "
                        + listOf(current.hostNames, "host name") + " under " + current.pathPrefix + " go to "
                        + capacityOf(current) + "." });
            },
            [&](const auto& old, const auto& current) { ServiceChanges(old, current, changes).describe(); } });
    return changes;
}

std::vector<Change> describeChanges(const TopologyDeclaration& before, const TopologyDeclaration& after)
{
    std::vector<Change> changes;
    const auto add = [&](const std::string& id, const std::string& sentence) {
        changes.push_back({ "topology", "", id, sentence });
    };
    compareLists<DataCentreDeclaration>(before.dataCentres, after.dataCentres,
        { [&](const auto& old) { add(old.id.value(), "Data centre " + old.id.value() + " is removed."); },
            [&](const auto& current) {
                add(current.id.value(),
                    "Data centre " + current.id.value() + " is added in region " + current.region.value() + ".");
            },
            [&](const auto& old, const auto& current) {
                add(current.id.value(),
                    "Data centre " + current.id.value() + " moves from region " + old.region.value() + " to "
                        + current.region.value() + ".");
            } });
    FieldChanges fields;
    fields.compare("delayWithinRegionMs", before.delayWithinRegion, after.delayWithinRegion)
        .compare("delayBetweenRegionsMs", before.delayBetweenRegions, after.delayBetweenRegions)
        .compare("linkBytesPerSecond", before.linkBytesPerSecond.count(), after.linkBytesPerSecond.count());
    if (!fields.empty())
        add("", "The links change: " + fields.text() + ". The choice of another data centre follows the new values.");
    return changes;
}

std::vector<Change> describeChanges(
    const std::set<DataCentreId>& evacuatedBefore, const std::set<DataCentreId>& evacuatedAfter)
{
    std::vector<Change> changes;
    const auto add = [&](const DataCentreId& id, const std::string& sentence) {
        changes.push_back({ "evacuation", "", id.value(), "Data centre " + id.value() + sentence });
    };
    for (const auto& id : evacuatedAfter) {
        if (!evacuatedBefore.contains(id))
            add(id, " is evacuated: its endpoints receive no new requests; requests in flight finish.");
    }
    for (const auto& id : evacuatedBefore) {
        if (!evacuatedAfter.contains(id))
            add(id, " is no longer evacuated: its endpoints are used again, cold at first.");
    }
    return changes;
}

} // namespace dogwoodhall
