#include "dogwoodhall/daemon/control/PlacementReport.h"

#include <boost/json.hpp>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

constexpr double millisecondsPerSecond = 1000;

double toMilliseconds(Duration duration) { return toSeconds(duration) * millisecondsPerSecond; }

template <typename Id> json::value idOrNull(const std::optional<Id>& id)
{
    return id ? json::value(id->value()) : json::value(nullptr);
}

void addChoice(json::object& item, const EndpointChoice& choice, bool hasReport)
{
    item["running"] = choice.load.running.count();
    item["waiting"] = choice.load.waiting.count();
    item["slots"] = choice.load.slots.count();
    item["slowdown"] = choice.load.slowdown;
    item["reportAgeMs"] = hasReport ? json::value(toMilliseconds(choice.reportAge)) : json::value(nullptr);
    item["expectedMs"] = toMilliseconds(choice.expected);
    item["chance"] = choice.chance;
    item["value"] = choice.value;
    item["hasRoom"] = choice.hasRoom;
    item["cold"] = choice.isCold;
}

json::object toObject(const ExplainedEndpoint& endpoint)
{
    json::object item { { "id", endpoint.id.value() }, { "address", toString(endpoint.address) },
        { "dataCentre", endpoint.dataCentre.value() }, { "distance", toString(endpoint.distance) } };
    if (endpoint.choice)
        addChoice(item, *endpoint.choice, endpoint.hasReport);
    else
        item["excluded"] = toString(endpoint.exclusion);
    return item;
}

json::object toObject(const ExplainedProbes& probes)
{
    json::array candidates;
    for (const auto& id : probes.candidates)
        candidates.emplace_back(id.value());
    return { { "distance", toString(probes.distance) }, { "count", probes.count },
        { "candidates", std::move(candidates) } };
}

json::object decisionOf(const PlacementExplanation& explanation)
{
    if (const auto* sent = std::get_if<SendRequest>(&explanation.decision)) {
        json::object decision { { "sent", true }, { "endpoint", sent->choice.endpoint.value() } };
        if (sent->hedgeAfter)
            decision["hedgeAfterMs"] = toMilliseconds(*sent->hedgeAfter);
        return decision;
    }
    const auto& refusal = std::get<RefuseRequest>(explanation.decision);
    const auto& answer = answerFor(refusal.kind);
    json::object decision { { "sent", false }, { "error", answer.name }, { "status", answer.status },
        { "text", answer.text } };
    if (refusal.best)
        decision["best"] = refusal.best->endpoint.value();
    return decision;
}

} // namespace

std::string toJson(const PlacementExplanation& explanation)
{
    json::array parts, endpoints, probes;
    for (const auto& part : explanation.parts)
        parts.push_back(json::object { { "service", part.service.value() }, { "weight", part.weight } });
    for (const auto& endpoint : explanation.endpoints)
        endpoints.push_back(toObject(endpoint));
    for (const auto& round : explanation.probes)
        probes.push_back(toObject(round));
    json::object document { { "version", json::value_from(explanation.version) },
        { "route", idOrNull(explanation.route) }, { "parts", std::move(parts) },
        { "service", idOrNull(explanation.service) }, { "endpoints", std::move(endpoints) },
        { "probes", std::move(probes) },
        { "farthest", explanation.farthest ? json::value(toString(*explanation.farthest)) : json::value(nullptr) },
        { "byOldReport", explanation.isByOldReport }, { "decision", decisionOf(explanation) } };
    if (const auto& leaving = explanation.leaving) {
        document["leaving"]
            = json::object { { "sameRegion", leaving->sameRegion }, { "otherRegion", leaving->otherRegion } };
    }
    return json::serialize(document) + "\n";
}

} // namespace dogwoodhall
