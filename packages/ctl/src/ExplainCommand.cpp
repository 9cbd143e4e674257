#include "FieldChanges.h"
#include "dogwoodhall/ctl/Command.h"
#include "dogwoodhall/ctl/Explanation.h"
#include "dogwoodhall/ctl/InputFiles.h"

#include <algorithm>
#include <boost/json.hpp>

namespace dogwoodhall {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

json::object toJson(const ExplainedPool& pool)
{
    json::array endpoints;
    for (const auto& endpoint : pool.endpoints) {
        endpoints.push_back(json::object { { "id", endpoint.id.value() }, { "host", endpoint.host.value() },
            { "address", toString(endpoint.address) }, { "slots", endpoint.slots.count() } });
    }
    json::object document { { "dataCentre", pool.id.dataCentre.value() }, { "reason", pool.reason },
        { "endpoints", std::move(endpoints) } };
    if (pool.exclusion)
        document["excluded"] = toString(*pool.exclusion);
    return document;
}

bool isExcluded(const ExplainedPool& pool) { return pool.exclusion.has_value(); }

void printJson(const Explanation& explanation, std::ostream& out)
{
    json::object document { { "found", explanation.route.has_value() },
        { "serviceReason", explanation.serviceReason } };
    if (const auto& route = explanation.route) {
        json::array pools;
        for (const auto& pool : explanation.pools)
            pools.push_back(toJson(pool));
        document["service"] = route->service.value();
        document["rule"] = route->rule.value();
        document["ruleReason"] = explanation.ruleReason;
        document["idempotent"] = route->isIdempotent;
        document["workClass"] = toText(route->workClass);
        document["priority"] = toText(route->priority);
        document["deadlineMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(route->deadline).count();
        document["pools"] = std::move(pools);
    }
    out << document << "\n";
}

void printText(const Explanation& explanation, std::ostream& out)
{
    if (!explanation.route) {
        out << "No service: " << explanation.serviceReason << ". The answer is 404 with error kind no-route.\n";
        return;
    }
    const auto& rule = explanation.route->rule.value();
    out << "Service " << explanation.route->service << ": " << explanation.serviceReason << ".\n"
        << (rule.empty() ? "No rule, the defaults apply" : "Rule " + rule) << ": " << explanation.ruleReason << ".\n";
    for (const auto& sentence : explanation.handling)
        out << sentence << "\n";
    if (explanation.pools.empty())
        out << "The service has no endpoints: the answer is 503 with error kind no-endpoint.\n";
    else if (std::all_of(explanation.pools.begin(), explanation.pools.end(), isExcluded))
        out << "The service has no endpoints that may be used: the answer is 503 with error kind no-endpoint.\n";
    for (const auto& pool : explanation.pools) {
        out << "Endpoints in " << pool.id.dataCentre << (pool.reason.empty() ? "" : " (" + pool.reason + ")")
            << (pool.exclusion ? ", not used (" + std::string(toString(*pool.exclusion)) + ")" : "") << ":\n";
        for (const auto& endpoint : pool.endpoints) {
            out << "  " << endpoint.id << " on host " << endpoint.host << " at " << toString(endpoint.address) << ", "
                << countOf(endpoint.slots.count(), "slot") << "\n";
        }
    }
}

// Returns the path without the query, as routing uses it.
std::string pathOf(const std::string& target) { return target.substr(0, target.find('?')); }

// Returns what is wrong with the arguments, or an empty text if nothing is.
std::string checkArguments(const Invocation& invocation, const InputFiles& input)
{
    if (!invocation.text("path").starts_with('/'))
        return "--path: expected a path that starts with '/', found \"" + invocation.text("path") + "\"";
    // An IPv6 address keeps its brackets in a Host header.
    const auto host = invocation.text("host");
    if (host.find(':') != std::string::npos && !host.ends_with(']'))
        return "--host: expected a host name without port, found \"" + host + "\"";
    if (!invocation.has("data-centre"))
        return "";
    if (!input.topology)
        return "--data-centre needs the topology among the records";
    const auto ownDataCentre = invocation.text("data-centre");
    std::vector<std::string> known;
    for (const auto& dataCentre : input.topology->dataCentres)
        known.push_back(dataCentre.id.value());
    const bool isKnown = std::find(known.begin(), known.end(), ownDataCentre) != known.end();
    return isKnown ? "" : "--data-centre: " + unknownNameMessage("data centre", ownDataCentre, known);
}

int runExplain(const Invocation& invocation)
{
    const auto input = readInputFiles(invocation.arguments["records"].as<std::vector<std::string>>());
    if (!input.problems.empty()) {
        printProblems(input.problems, invocation.wantsJson(), invocation.out);
        return badInputExitStatus;
    }
    if (const auto message = checkArguments(invocation, input); !message.empty())
        return invocation.fail(message, badInputExitStatus);
    const auto method = invocation.text("method"), path = pathOf(invocation.text("path")),
               host = invocation.text("host");
    std::optional<DataCentreId> ownDataCentre;
    if (invocation.has("data-centre"))
        ownDataCentre = DataCentreId(invocation.text("data-centre"));
    const auto topology = input.topology.value_or(TopologyDeclaration {});
    const auto explanation = explain(
        input.services, PoolEligibility(topology, input.evacuated), topology, { host, path, method }, ownDataCentre);
    if (invocation.wantsJson())
        printJson(explanation, invocation.out);
    else
        printText(explanation, invocation.out);
    return explanation.route ? 0 : negativeStatus;
}

} // namespace

Command explainCommand()
{
    Command command { "explain", "say which rule and endpoints a request would meet, and why",
        "--records FILE --method METHOD --path PATH --host NAME [--data-centre ID]",
        { "explain --records records.json --method GET --path /previews/7 --host jingles.example",
            "explain --records records.json --method POST --path /claims --host x --data-centre cairo-1" },
        {}, {}, runExplain };
    command.options.add_options()("records", options::value<std::vector<std::string>>()->required()->value_name("FILE"),
        "a record or a bundle; may be given more than once")(
        "method", options::value<std::string>()->default_value("GET")->value_name("METHOD"), "HTTP method")("path",
        options::value<std::string>()->required()->value_name("PATH"), "path of the request; a query is ignored")(
        "host", options::value<std::string>()->default_value("")->value_name("NAME"),
        "Host header of the request, without port")("data-centre", options::value<std::string>()->value_name("ID"),
        "data centre of the entry host, which orders the endpoints");
    return command;
}

} // namespace dogwoodhall
