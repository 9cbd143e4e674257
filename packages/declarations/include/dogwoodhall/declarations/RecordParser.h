#pragma once

#include "dogwoodhall/configuration/Record.h"

#include <string>
#include <tl/expected.hpp>

namespace dogwoodhall {

// Parses a record's value, JSON with comments, to its meaning. The error names place, what was expected and what was
// found; a record with an error is rejected whole.
tl::expected<Declaration, std::string> parseRecord(const Record&);

} // namespace dogwoodhall
