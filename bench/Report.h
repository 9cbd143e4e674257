#pragma once

#include "Simulation.h"

#include <ostream>
#include <string>

namespace dogwoodhall::bench {

// A row of the output: the results of a policy in a scenario.
struct Row {
    std::string deployment;
    std::string scenario;
    std::string policy;
    double p50, p99, p999; // Milliseconds beyond the service time, of short requests that were served.
    double inTime; // Share of short requests that were served in time.
    // Slot time at peak load that was spent on requests served in time, as a share of the offered work or, if that
    // exceeds the slots, of their capacity.
    double peakUtilisation;
    double p99WithoutLong; // The p99 of the same load without long work; negative if not run.
    double longP99; // Milliseconds, including the service time; negative without long work.
    double callsPerSecond; // Sum over all entry hosts.
    double bytesPerSecond; // Maximum over all entry hosts.
};

Row summarise(Result, const Scenario&, const Deployment&, const Options&, const std::string& policy);

void printTableHeader(std::ostream&);
void printTableRow(std::ostream&, const Row&);
void printJson(std::ostream&, const Row&, const Options&);

} // namespace dogwoodhall::bench
