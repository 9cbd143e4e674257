#pragma once

#include "World.h"

#include <ostream>
#include <string>

namespace dogwoodhall::bench {

// One line of the output: what a policy reached in a scenario.
struct Row {
    std::string deployment;
    std::string scenario;
    std::string policy;
    double p50, p99, p999; // Milliseconds added to short requests that were served.
    double inTime; // Share of short requests that were served in time.
    double peak; // Slot time at the peak spent on work in time, as a share of what was offered or the slots hold.
    double p99WithoutLong; // The p99 of the same load without long work; negative: not run.
    double longP99; // Milliseconds, service included; negative: no long work.
    double callsPerSecond; // Of all entry hosts.
    double bytesPerSecond; // Of the entry host that spends most.
};

Row summarise(Result, const Scenario&, const Deployment&, const Options&, const std::string& policy);

void printTableHeader(std::ostream&);
void printTableRow(std::ostream&, const Row&);
void printJson(std::ostream&, const Row&, const Options&);

} // namespace dogwoodhall::bench
