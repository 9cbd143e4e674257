#include "dogwoodhall/declarations/RecordParser.h"

#include <boost/json.hpp>
#include <stdexcept>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

std::string stringAt(const json::object& object, std::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

EndpointDeclaration parseEndpoint(const json::object& object)
{
    EndpointDeclaration endpoint;
    endpoint.id = EndpointId(stringAt(object, "id"));
    endpoint.host = HostId(stringAt(object, "host"));
    endpoint.dataCentre = DataCentreId(stringAt(object, "dataCentre"));
    auto address = parseNetworkAddress(stringAt(object, "address"));
    if (!address)
        throw std::invalid_argument("address: expected IP:PORT");
    endpoint.address = *address;
    endpoint.slots = SlotCount(object.at("slots").to_number<std::uint64_t>());
    return endpoint;
}

RuleDeclaration parseRule(const json::object& object)
{
    RuleDeclaration rule;
    rule.id = RuleId(stringAt(object, "id"));
    if (const auto* methods = object.if_contains("methods"))
        rule.methods = json::value_to<std::vector<std::string>>(*methods);
    if (const auto* prefix = object.if_contains("pathPrefix"))
        rule.pathPrefix = json::value_to<std::string>(*prefix);
    if (const auto* idempotent = object.if_contains("idempotent"))
        rule.idempotent = idempotent->as_bool();
    if (const auto* workClass = object.if_contains("workClass"))
        rule.workClass = workClass->as_string() == "long" ? WorkClass::Long : WorkClass::Short;
    if (const auto* deadline = object.if_contains("deadlineMs"))
        rule.deadline = std::chrono::milliseconds(deadline->to_number<std::int64_t>());
    return rule;
}

ServiceDeclaration parseService(const json::object& object)
{
    ServiceDeclaration service;
    service.id = ServiceId(stringAt(object, "service"));
    if (const auto* hostNames = object.if_contains("hostNames"))
        service.hostNames = json::value_to<std::vector<std::string>>(*hostNames);
    if (const auto* prefix = object.if_contains("pathPrefix"))
        service.pathPrefix = json::value_to<std::string>(*prefix);
    for (const auto& endpoint : object.at("endpoints").as_array())
        service.endpoints.push_back(parseEndpoint(endpoint.as_object()));
    if (const auto* rules = object.if_contains("rules")) {
        for (const auto& rule : rules->as_array())
            service.rules.push_back(parseRule(rule.as_object()));
    }
    return service;
}

TopologyDeclaration parseTopology(const json::object& object)
{
    TopologyDeclaration topology;
    for (const auto& item : object.at("dataCentres").as_array()) {
        const auto& dataCentre = item.as_object();
        topology.dataCentres.push_back(
            { DataCentreId(stringAt(dataCentre, "id")), RegionId(stringAt(dataCentre, "region")) });
    }
    return topology;
}

} // namespace

tl::expected<Declaration, std::string> parseRecord(const Record& record)
{
    json::parse_options options;
    options.allow_comments = true;
    try {
        const auto document = json::parse(record.value, {}, options);
        const auto& object = document.as_object();
        if (record.key.value() == "topology")
            return parseTopology(object);
        return parseService(object);
    } catch (const std::exception& error) {
        return tl::unexpected(record.key.value() + ": " + error.what());
    }
}

} // namespace dogwoodhall
