#include "LoadRun.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

// Sends load to one address, or compares two. With --through and --direct, the two addresses are loaded alternately, so
// that both are measured in the same state of the machine, and the difference of their percentiles is the latency that
// --through adds. With --pid, prints the memory that each idle and each busy connection takes in that process.

namespace options = boost::program_options;

namespace dogwoodhall {

namespace {

constexpr unsigned rounds = 10;

struct LoadOptions {
    LoadPlan plan;
    std::string through;
    std::string direct;
    int pid = 0;
};

void print(const std::string& name, const LoadResult& result)
{
    const auto at = [&](double share) { return result.percentile(share).count() / 1000.0; };
    std::cout << std::fixed << std::setprecision(3) << name << ": " << std::setprecision(0) << result.rate()
              << " requests/s, " << result.failures << " failed, p50 " << std::setprecision(3) << at(0.5) << " ms, p99 "
              << at(0.99) << " ms, p99.9 " << at(0.999) << " ms\n";
}

void compare(const LoadOptions& options)
{
    std::map<std::string, LoadResult> results;
    LoadPlan plan = options.plan;
    plan.duration = options.plan.duration / (2 * rounds);
    for (unsigned n = 0; n < rounds; ++n) {
        for (const auto* address : { &options.through, &options.direct }) {
            plan.address = parseNetworkAddress(*address).value();
            results[*address].add(runLoad(plan));
        }
    }
    const auto& through = results[options.through];
    const auto& direct = results[options.direct];
    print("through", through);
    print("direct", direct);
    for (const double share : { 0.5, 0.99, 0.999 }) {
        const auto added = (through.percentile(share) - direct.percentile(share)).count() / 1000.0;
        std::cout << "added at p" << std::setprecision(1) << share * 100 << ": " << std::setprecision(3) << added
                  << " ms\n";
    }
}

std::size_t residentKilobytes(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (file >> word) {
        if (word == "VmRSS:" && file >> kilobytes)
            return kilobytes;
    }
    throw std::runtime_error("no process " + std::to_string(pid));
}

void measureMemory(const LoadOptions& options)
{
    LoadPlan plan = options.plan;
    const auto perConnection = [&](std::size_t before) {
        const auto after = residentKilobytes(options.pid);
        return (static_cast<double>(after) - static_cast<double>(before)) / static_cast<double>(plan.connections);
    };
    const auto before = residentKilobytes(options.pid);
    PersistentConnections openConnections(plan);
    openConnections.requestOnEach("/");
    std::cout << std::setprecision(2) << "idle connection: " << perConnection(before) << " kB\n";
    openConnections.startOnEach(plan.target);
    std::cout << "busy connection: " << perConnection(before) << " kB\n";
}

int run(const LoadOptions& options)
{
    if (!options.direct.empty()) {
        compare(options);
        return 0;
    }
    if (options.pid) {
        measureMemory(options);
        return 0;
    }
    const auto result = runLoad(options.plan);
    print("load", result);
    return result.failures == 0 ? 0 : 1;
}

} // namespace

} // namespace dogwoodhall

int main(int argc, char** argv)
{
    options::options_description description("load-tool");
    description.add_options()("through", options::value<std::string>()->required(), "IP:PORT that gets the load");
    description.add_options()("direct", options::value<std::string>()->default_value(""), "IP:PORT to compare with");
    description.add_options()("connections", options::value<std::size_t>()->default_value(8), "open at the same time");
    description.add_options()("seconds", options::value<double>()->default_value(10), "of load in all");
    description.add_options()("rate", options::value<double>()->default_value(0), "requests/s; 0: as fast as answered");
    description.add_options()("target", options::value<std::string>()->default_value("/"), "request target");
    description.add_options()("deadline-ms", options::value<unsigned>()->default_value(0), "0: the service's own");
    description.add_options()("pid", options::value<int>()->default_value(0), "measure memory of this process");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
        dogwoodhall::LoadOptions load;
        load.through = arguments["through"].as<std::string>();
        load.direct = arguments["direct"].as<std::string>();
        load.pid = arguments["pid"].as<int>();
        load.plan.address = dogwoodhall::parseNetworkAddress(load.through).value();
        load.plan.connections = arguments["connections"].as<std::size_t>();
        load.plan.duration = std::chrono::duration<double>(arguments["seconds"].as<double>());
        load.plan.deadlineMs = arguments["deadline-ms"].as<unsigned>();
        load.plan.rate = arguments["rate"].as<double>();
        load.plan.target = arguments["target"].as<std::string>();
        return dogwoodhall::run(load);
    } catch (const std::exception& error) {
        std::cerr << "load-tool: " << error.what() << "\n" << description;
        return 2;
    }
}
