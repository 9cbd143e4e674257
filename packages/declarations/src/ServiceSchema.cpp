#include "Schemas.h"
#include "TextRules.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

constexpr std::int64_t newestServiceVersion = 2;
const char* const versionOne = "schemaVersion 1";
const char* const versionTwo = "schemaVersion 2";
constexpr IntegerRange slotsRange { 1, 10'000 };
constexpr IntegerRange maxConnectionsRange { 1, 100'000 };
constexpr IntegerRange deadlineMsRange { 1, 3'600'000 };
constexpr IntegerRange queuePerSlotRange { 0, 1'000 };
constexpr IntegerRange coldRampMsRange { 0, 3'600'000 };
constexpr DecimalRange percentRange { 0, 100 };

// Checks uniqueness across all data centres of a service.
struct EndpointUniqueness {
    UniqueValues ids;
    UniqueValues addresses; // Two endpoints at one address would receive twice the load its slots allow.

    explicit EndpointUniqueness(CheckContext& context)
        : ids(context, "endpoint id")
        , addresses(context, "endpoint address")
    {
    }
};

DataCentreId readDataCentre(ObjectReader& reader, const std::string& field)
{
    const auto id = reader.text(field, Presence::Required, idText());
    if (id)
        reader.context().addReference(DataCentreId(*id), *reader.node(field), reader.pointerTo(field));
    return DataCentreId(id.value_or(""));
}

// The fields that both versions share.
EndpointDeclaration readEndpoint(ObjectReader& reader, EndpointUniqueness& unique)
{
    EndpointDeclaration endpoint;
    endpoint.id = EndpointId(reader.text("id", Presence::Required, idText()).value_or(""));
    endpoint.host = HostId(reader.text("host", Presence::Required, idText()).value_or(""));
    if (auto address = reader.text("address", Presence::Required, remoteAddressText()))
        endpoint.address = *parseNetworkAddress(*address);
    if (auto slots = reader.integer("slots", Presence::Required, slotsRange))
        endpoint.slots = SlotCount(static_cast<std::uint64_t>(*slots));
    // The default if maxConnections is not set: each slot needs a connection.
    endpoint.maxConnections = std::max(endpoint.maxConnections, static_cast<std::uint32_t>(endpoint.slots.count()));
    unique.ids.add(reader.node("id"), reader.pointerTo("id"));
    unique.addresses.add(reader.node("address"), reader.pointerTo("address"));
    return endpoint;
}

void readMaxConnections(ObjectReader& reader, EndpointDeclaration& endpoint)
{
    auto count = reader.integer("maxConnections", Presence::Optional, maxConnectionsRange);
    if (!count)
        return;
    endpoint.maxConnections = static_cast<std::uint32_t>(*count);
    if (endpoint.maxConnections < endpoint.slots.count()) {
        reader.context().report(*reader.node("maxConnections"), reader.pointerTo("maxConnections"),
            "at least as many connections as slots, " + std::to_string(endpoint.slots.count()));
    }
}

// The fields that both versions share.
RuleDeclaration readRule(ObjectReader& reader)
{
    RuleDeclaration rule;
    rule.id = RuleId(reader.text("id", Presence::Required, idText()).value_or(""));
    rule.methods = reader.texts("methods", methodText());
    rule.pathPrefix = reader.text("pathPrefix", Presence::Optional, pathText()).value_or(rule.pathPrefix);
    rule.idempotent = reader.boolean("idempotent", Presence::Optional);
    if (auto workClass = reader.text("workClass", Presence::Optional, workClassText()))
        rule.workClass = *workClass == "long" ? WorkClass::Long : WorkClass::Short;
    if (auto deadline = reader.integer("deadlineMs", Presence::Optional, deadlineMsRange))
        rule.deadline = std::chrono::milliseconds(*deadline);
    return rule;
}

// A rule outside the service's path prefix matches no request. Version 1 accepts such rules for compatibility.
void checkReachable(ObjectReader& reader, const RuleDeclaration& rule, const std::string& servicePrefix)
{
    const bool isReachable = rule.pathPrefix.starts_with(servicePrefix) || servicePrefix.starts_with(rule.pathPrefix);
    if (const auto* prefix = reader.node("pathPrefix"); prefix && !isReachable) {
        reader.context().report(
            *prefix, reader.pointerTo("pathPrefix"), "a path within the service's path prefix " + servicePrefix);
    }
}

void readRules(ObjectReader& reader, std::int64_t version, ServiceDeclaration& service)
{
    UniqueValues ids(reader.context(), "rule id");
    reader.array("rules", Presence::Optional, [&](const JsonNode& node, const std::string& pointer) {
        ObjectReader item(reader.context(), node, pointer);
        auto rule = readRule(item);
        ids.add(item.node("id"), item.pointerTo("id"));
        if (version >= 2) {
            if (auto priority = item.text("priority", Presence::Optional, priorityText()))
                rule.priority = *priority == "low" ? Priority::Low : Priority::Normal;
            checkReachable(item, rule, service.pathPrefix);
        } else {
            item.declareFieldsOfVersion(versionTwo, { "priority" });
        }
        item.finish();
        service.rules.push_back(std::move(rule));
    });
}

void readFlatEndpoints(ObjectReader& reader, ServiceDeclaration& service)
{
    EndpointUniqueness unique(reader.context());
    reader.array("endpoints", Presence::Required, [&](const JsonNode& node, const std::string& pointer) {
        ObjectReader item(reader.context(), node, pointer);
        auto endpoint = readEndpoint(item, unique);
        endpoint.dataCentre = readDataCentre(item, "dataCentre");
        item.declareFieldsOfVersion(versionTwo, { "maxConnections" });
        item.finish();
        service.endpoints.push_back(std::move(endpoint));
    });
}

void readGroupedEndpoints(ObjectReader& reader, ServiceDeclaration& service)
{
    EndpointUniqueness unique(reader.context());
    UniqueValues dataCentres(reader.context(), "data centre");
    reader.array("dataCentres", Presence::Required, [&](const JsonNode& node, const std::string& pointer) {
        ObjectReader group(reader.context(), node, pointer);
        const auto dataCentre = readDataCentre(group, "id");
        dataCentres.add(group.node("id"), group.pointerTo("id"));
        group.array("endpoints", Presence::Required, [&](const JsonNode& child, const std::string& childPointer) {
            ObjectReader item(reader.context(), child, childPointer);
            auto endpoint = readEndpoint(item, unique);
            endpoint.dataCentre = dataCentre;
            readMaxConnections(item, endpoint);
            item.declareFieldsOfVersion(versionOne, { "dataCentre" });
            item.finish();
            service.endpoints.push_back(std::move(endpoint));
        });
        group.finish();
    });
}

void readLimits(ObjectReader& reader, PoolLimitsDeclaration& limits)
{
    reader.object("limits", Presence::Optional, [&](const JsonNode& node, const std::string& pointer) {
        ObjectReader item(reader.context(), node, pointer);
        if (auto queue = item.integer("queuePerSlot", Presence::Optional, queuePerSlotRange))
            limits.queuePerSlot = static_cast<std::uint32_t>(*queue);
        if (auto percent = item.decimal("longWorkSharePercent", Presence::Optional, percentRange))
            limits.longWorkShare = Fraction(*percent / 100);
        if (auto percent = item.decimal("retrySharePercent", Presence::Optional, percentRange))
            limits.retryShare = Fraction(*percent / 100);
        if (auto ramp = item.integer("coldRampMs", Presence::Optional, coldRampMsRange))
            limits.coldRamp = std::chrono::milliseconds(*ramp);
        item.finish();
    });
}

void readAllowedRegions(ObjectReader& reader, ServiceDeclaration& service)
{
    const auto pointer = reader.pointerTo("allowedRegions");
    for (const auto& region : reader.texts("allowedRegions", idText()))
        service.allowedRegions.emplace_back(region);
    const auto* node = reader.node("allowedRegions");
    if (!node || node->kind != JsonNode::Kind::Array)
        return;
    // Without a region the list would mean that every region is allowed.
    if (node->items.empty())
        reader.context().report(*node, pointer, "at least one region");
    for (std::size_t n = 0; n < node->items.size(); ++n)
        reader.context().addReference(RegionId(node->items[n].text), node->items[n], childPointer(pointer, n));
}

} // namespace

ServiceDeclaration readService(CheckContext& context, const JsonNode& node, const std::string& pointer)
{
    ObjectReader reader(context, node, pointer);
    ServiceDeclaration service;
    const auto version = readSchemaVersion(reader, newestServiceVersion);
    if (!version)
        return service;
    service.id = ServiceId(reader.text("service", Presence::Required, idText()).value_or(""));
    service.hostNames = reader.texts("hostNames", hostNameText());
    service.pathPrefix = reader.text("pathPrefix", Presence::Optional, pathText()).value_or(service.pathPrefix);
    if (*version == 1) {
        readFlatEndpoints(reader, service);
        reader.declareFieldsOfVersion(versionTwo, { "allowedRegions", "dataCentres", "limits" });
    } else {
        readGroupedEndpoints(reader, service);
        reader.declareFieldsOfVersion(versionOne, { "endpoints" });
        readAllowedRegions(reader, service);
        readLimits(reader, service.limits);
    }
    readRules(reader, *version, service);
    reader.finish();
    return service;
}

} // namespace dogwoodhall
