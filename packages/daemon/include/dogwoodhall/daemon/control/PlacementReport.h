#pragma once

#include "dogwoodhall/dispatch/PlacementExplanation.h"

#include <string>

namespace dogwoodhall {

// Returns the body of GET /where, a JSON object with a trailing newline. docs/OPERATIONS.md describes its fields.
std::string toJson(const PlacementExplanation&);

} // namespace dogwoodhall
