// Soak test: runs real daemons on loopback, injects faults from outside, and checks what clients and endpoints
// observed. Exit status: 0 if all guarantees held, 1 if one was violated, 2 for invalid arguments.
#include "SoakRun.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <iostream>

namespace json = boost::json;
namespace options = boost::program_options;
using namespace dogwoodhall::soak;

namespace {

constexpr int statusViolation = 1;
constexpr int statusUsage = 2;

json::object toJson(std::uint64_t seed, const SoakReport& report)
{
    json::object faults;
    for (const auto& [kind, count] : report.faults)
        faults[kind] = count;
    json::array violations;
    for (const auto& violation : report.violations)
        violations.push_back(json::object { { "rule", violation.rule }, { "detail", violation.detail } });
    return { { "seed", seed }, { "calls", report.calls }, { "served", report.served }, { "faults", std::move(faults) },
        { "violations", std::move(violations) } };
}

void print(std::uint64_t seed, const SoakReport& report, bool asJson)
{
    if (asJson) {
        std::cout << toJson(seed, report) << std::endl;
        return;
    }
    std::cout << "seed " << seed << ": " << report.served << " of " << report.calls << " requests served;";
    for (const auto& [kind, count] : report.faults)
        std::cout << ' ' << kind << ' ' << count;
    std::cout << (report.violations.empty() ? "; all promises held" : "; BROKEN") << std::endl;
    for (const auto& violation : report.violations)
        std::cout << "  " << violation.rule << ": " << violation.detail << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("soak");
    auto add = description.add_options();
    add("help", "print this help");
    add("seed", options::value<std::uint64_t>()->default_value(1), "first seed");
    add("runs", options::value<std::uint64_t>()->default_value(1), "number of runs, each with the next seed");
    add("seconds", options::value<int>()->default_value(20), "length of a run in seconds");
    add("processes", options::value<std::size_t>()->default_value(3), "number of daemons");
    add("endpoints", options::value<std::size_t>()->default_value(6), "number of endpoints");
    add("clients", options::value<std::size_t>()->default_value(24), "number of clients");
    add("pause-ms", options::value<std::size_t>()->default_value(defaultMaxPauseMs),
        "most milliseconds between two requests of a client");
    add("scenario", options::value<std::string>()->default_value("all"),
        "faults: all, signals, links, store, endpoints, planned, fleet, restore or overlap");
    add("json", "print one JSON object per run");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        SoakOptions soak;
        soak.selection = values["scenario"].as<std::string>();
        soak.clients = values["clients"].as<std::size_t>();
        soak.maxPauseMs = std::max<std::size_t>(values["pause-ms"].as<std::size_t>(), 1);
        soak.limits.length = std::chrono::seconds(values["seconds"].as<int>());
        soak.limits.daemons = values["processes"].as<std::size_t>();
        soak.limits.endpoints = values["endpoints"].as<std::size_t>();
        if (makeScenario(1, soak.selection, soak.limits).empty())
            throw options::error("no faults in the scenario \"" + soak.selection + "\" for this run length");
        bool isViolated = false;
        for (std::uint64_t n = 0; n < values["runs"].as<std::uint64_t>(); ++n) {
            soak.seed = values["seed"].as<std::uint64_t>() + n;
            const auto report = SoakRun(soak).run();
            print(soak.seed, report, values.contains("json"));
            isViolated = isViolated || !report.violations.empty();
        }
        return isViolated ? statusViolation : 0;
    } catch (const options::error& error) {
        std::cerr << "soak: " << error.what() << std::endl;
        return statusUsage;
    }
}
