#include "DirectPlacement.h"
#include "HomePlacement.h"
#include "Report.h"
#include "Simulation.h"

#include <boost/program_options.hpp>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace dogwoodhall;
using namespace dogwoodhall::bench;

namespace {

namespace po = boost::program_options;
using std::chrono::milliseconds;

struct Policy {
    std::string name;
    std::function<Result(Simulation&)> run;
};

Policy direct(const char* name, const DirectSettings& settings)
{
    return { name, [settings](Simulation& simulation) {
                DirectPlacement placement(simulation, settings);
                return simulation.run([&](RequestIndex index) { placement.submit(index); });
            } };
}

Policy home(const char* name, bool limitsLongWork)
{
    return { name, [limitsLongWork](Simulation& simulation) {
                HomePlacement placement(simulation, { limitsLongWork });
                return simulation.run([&](RequestIndex index) { placement.submit(index); });
            } };
}

std::vector<Policy> allPolicies()
{
    return { direct("random", { randomEndpoint(), false, false, false }),
        direct("two-reports", { twoChoicesByReportedLoad(), true, false, false }),
        direct("two-own", { twoChoicesByOwnRequests(), false, false, false }),
        direct("two-own-dc", { twoChoicesByOwnRequests(), false, false, true }),
        direct("jsq-no-delay", { leastLoaded(), false, true, false }), home("home-no-limit", false),
        home("home", true) };
}

std::vector<Deployment> allDeployments()
{
    return { { "catalogue", 14, 3, 200, milliseconds(1) }, { "stock", 23, 4, 250, std::chrono::microseconds(1500) } };
}

std::vector<Scenario> allScenarios()
{
    std::vector<Scenario> all { { "steady" }, { "swing", true }, { "long-declared", true, 0.01, true },
        { "long-learnt", true, 0.01 } };
    Scenario slow { "slow-endpoint" };
    slow.hasSlowEndpoint = true;
    Scenario lost { "member-lost" };
    lost.losesMember = true;
    Scenario hot { "hot-region" };
    hot.hasHotRegion = true;
    Scenario split { "region-split" };
    split.hasHotRegion = true;
    split.splitsRegion = true;
    all.insert(all.end(), { slow, lost, hot, split });
    for (const auto& [name, period] :
        { std::pair { "stale-0.1s", 100 }, { "stale-1s", 1000 }, { "stale-10s", 10000 } }) {
        Scenario stale { name, true };
        stale.reportPeriod = milliseconds(period);
        all.push_back(stale);
    }
    return all;
}

Row runOne(const Deployment& deployment, const Scenario& scenario, const Options& options, const Policy& policy)
{
    Simulation simulation(deployment, scenario, options);
    return summarise(policy.run(simulation), scenario, deployment, options, policy.name);
}

Row runWithAndWithoutLong(
    const Deployment& deployment, const Scenario& scenario, const Options& options, const Policy& policy)
{
    Row row = runOne(deployment, scenario, options, policy);
    if (scenario.longShare > 0) {
        Scenario without = scenario;
        without.longShare = 0;
        row.p99WithoutLong = runOne(deployment, without, options, policy).p99;
    }
    return row;
}

Duration duration(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

struct CommandLine {
    Options options;
    std::string scenario;
    std::string policy;
    bool isJson = false;
};

// Returns nullopt if only the help text was requested.
std::optional<CommandLine> parse(int argc, char** argv)
{
    CommandLine line;
    double serviceMs = 5;
    double deadlineMs = 0;
    double seconds = 20;
    double reportMs = 0;
    po::options_description description("Compares placement policies in virtual time");
    auto add = description.add_options();
    add("help", "print this text");
    add("seed", po::value(&line.options.seed)->default_value(1), "seed of all random choices");
    add("scenario", po::value(&line.scenario), "run one scenario only");
    add("policy", po::value(&line.policy), "run one policy only");
    add("load", po::value(&line.options.load)->default_value(0.85), "base load, as a share of the slots");
    add("service-ms", po::value(&serviceMs)->default_value(5), "mean service time of a short request");
    add("deadline-ms", po::value(&deadlineMs)->default_value(0), "deadline of a request; 0: 50 service times");
    add("duration", po::value(&seconds)->default_value(20), "virtual seconds, of which 2 warm up");
    add("queue-per-slot", po::value(&line.options.queuePerSlot)->default_value(6), "longest queue of a pool");
    add("least-allowance", po::value(&line.options.leastAllowance)->default_value(1),
        "least requests above an endpoint's slots");
    add("most-allowance", po::value(&line.options.mostAllowance)->default_value(4),
        "most requests above an endpoint's slots");
    add("long-share", po::value(&line.options.longWorkShare)->default_value(0.5), "share of slots for long work");
    add("long-slots", po::value(&line.options.longSlots)->default_value(1), "slots of an endpoint for long work");
    add("report-ms", po::value(&reportMs)->default_value(0), "period of load reports; 0: as the scenario says");
    add("json", po::bool_switch(&line.isJson), "print JSON lines");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    line.options.service = duration(serviceMs);
    line.options.deadline = duration(deadlineMs > 0 ? deadlineMs : 50 * serviceMs);
    line.options.reportPeriod = duration(reportMs);
    line.options.duration = duration(seconds * 1000);
    return line;
}

void runAll(const CommandLine& line)
{
    if (!line.isJson)
        printTableHeader(std::cout);
    for (const auto& deployment : allDeployments()) {
        for (auto scenario : allScenarios()) {
            if (line.options.reportPeriod.count() > 0)
                scenario.reportPeriod = line.options.reportPeriod;
            if (!line.scenario.empty() && line.scenario != scenario.name)
                continue;
            for (const auto& policy : allPolicies()) {
                if (!line.policy.empty() && line.policy != policy.name)
                    continue;
                const Row row = runWithAndWithoutLong(deployment, scenario, line.options, policy);
                if (line.isJson)
                    printJson(std::cout, row, line.options);
                else
                    printTableRow(std::cout, row);
            }
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        if (const auto line = parse(argc, argv))
            runAll(*line);
        return 0;
    } catch (const po::error& error) {
        std::cerr << "placementbench: " << error.what() << '\n';
        return 2;
    }
}
