#pragma once

#include "dogwoodhall/declarations/DeclarationFile.h"

#include <iosfwd>
#include <set>

namespace dogwoodhall {

// The combined contents of several files, with the problems of each file and of their combination.
struct InputFiles {
    std::vector<ServiceDeclaration> services; // Sorted by id.
    std::optional<TopologyDeclaration> topology;
    std::set<DataCentreId> evacuated;
    std::vector<Settings> settings;
    Problems problems;
};

InputFiles readInputFiles(const std::vector<std::string>& paths);

// Prints problems one per line, or as {"valid": false, "problems": [...]}.
void printProblems(const Problems&, bool asJson, std::ostream&);

} // namespace dogwoodhall
