#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"

#include <string>
#include <vector>

namespace dogwoodhall {

// A difference between two configurations.
struct Change {
    std::string kind; // "service", "endpoint", "rule", "limits" or "topology".
    std::string service; // Empty for the topology.
    std::string id; // Of the endpoint, rule or data centre; empty otherwise.
    std::string sentence; // Describes the change and its effect.
};

// Both lists of services are sorted by id.
std::vector<Change> describeChanges(
    const std::vector<ServiceDeclaration>& before, const std::vector<ServiceDeclaration>& after);
std::vector<Change> describeChanges(const TopologyDeclaration& before, const TopologyDeclaration& after);

} // namespace dogwoodhall
