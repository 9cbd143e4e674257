#pragma once

#include "dogwoodhall/configuration/ServiceDeclaration.h"
#include "dogwoodhall/configuration/TopologyDeclaration.h"

#include <set>
#include <string>
#include <vector>

namespace dogwoodhall {

// A difference between two configurations.
struct Change {
    std::string kind; // "service", "endpoint", "rule", "limits", "topology" or "evacuation".
    std::string service; // Empty for the topology and evacuations.
    std::string id; // Of the endpoint, rule or data centre; empty otherwise.
    std::string sentence; // Describes the change and its effect.
};

// Both lists of services are sorted by id.
std::vector<Change> describeChanges(
    const std::vector<ServiceDeclaration>& before, const std::vector<ServiceDeclaration>& after);
std::vector<Change> describeChanges(const TopologyDeclaration& before, const TopologyDeclaration& after);
std::vector<Change> describeChanges(
    const std::set<DataCentreId>& evacuatedBefore, const std::set<DataCentreId>& evacuatedAfter);

} // namespace dogwoodhall
