#pragma once

#include "dogwoodhall/declarations/DeclarationFile.h"

#include <iosfwd>

namespace dogwoodhall {

// What several files declare together, with the problems of each file and those between files.
struct InputFiles {
    std::vector<ServiceDeclaration> services; // In order of their ids.
    std::optional<TopologyDeclaration> topology;
    std::vector<Settings> settings;
    Problems problems;
};

InputFiles readInputFiles(const std::vector<std::string>& paths);

// Prints problems one to a line, or as {"valid": false, "problems": [...]}.
void printProblems(const Problems&, bool asJson, std::ostream&);

} // namespace dogwoodhall
