// Runs the real daemons on loopback while faults are injected from outside, and judges what callers and endpoints saw.
// Exit status: 0 where all promises held, 1 where one was broken, 2 for wrong arguments.
#include "SoakRun.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <iostream>

namespace json = boost::json;
namespace options = boost::program_options;
using namespace dogwoodhall::soak;

namespace {

constexpr int statusBroken = 1;
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
    add("help", "prints this text");
    add("seed", options::value<std::uint64_t>()->default_value(1), "first seed");
    add("runs", options::value<std::uint64_t>()->default_value(1), "runs, each with the next seed");
    add("seconds", options::value<int>()->default_value(20), "length of a run");
    add("processes", options::value<std::size_t>()->default_value(3), "daemons");
    add("endpoints", options::value<std::size_t>()->default_value(6), "endpoints");
    add("clients", options::value<std::size_t>()->default_value(24), "clients");
    add("scenario", options::value<std::string>()->default_value("all"),
        "faults: all, signals, links, store, endpoints or planned");
    add("json", "prints one JSON object a run");
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
        soak.limits.length = std::chrono::seconds(values["seconds"].as<int>());
        soak.limits.daemons = values["processes"].as<std::size_t>();
        soak.limits.endpoints = values["endpoints"].as<std::size_t>();
        if (makeScenario(1, soak.selection, soak.limits).empty())
            throw options::error("no faults of the scenario \"" + soak.selection + "\" in this time");
        bool isBroken = false;
        for (std::uint64_t n = 0; n < values["runs"].as<std::uint64_t>(); ++n) {
            soak.seed = values["seed"].as<std::uint64_t>() + n;
            const auto report = SoakRun(soak).run();
            print(soak.seed, report, values.contains("json"));
            isBroken = isBroken || !report.violations.empty();
        }
        return isBroken ? statusBroken : 0;
    } catch (const options::error& error) {
        std::cerr << "soak: " << error.what() << std::endl;
        return statusUsage;
    }
}
