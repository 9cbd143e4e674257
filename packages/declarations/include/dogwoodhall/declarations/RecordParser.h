#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/declarations/Problem.h"

#include <string>
#include <tl/expected.hpp>

namespace dogwoodhall {

// Parses a record's value, JSON with comments, to its meaning, whatever its schema version. On failure gives all
// problems, with the record's key as the file; a record with a problem is rejected whole.
tl::expected<Declaration, Problems> checkRecord(const Record&);

// As checkRecord(), with the problems as text for a log line. Beyond 20 problems only their number is given, so that a
// large bad record does not fill the log.
tl::expected<Declaration, std::string> parseRecord(const Record&);

} // namespace dogwoodhall
