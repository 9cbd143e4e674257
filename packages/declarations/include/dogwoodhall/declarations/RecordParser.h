#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/declarations/Problem.h"

#include <string>
#include <tl/expected.hpp>

namespace dogwoodhall {

// Parses and validates a record's value, which is JSON with comments, of any supported schema version. If there is any
// problem, the whole record is rejected and all problems are returned, with the record's key as the file.
tl::expected<Declaration, Problems> checkRecord(const Record&);

// Like checkRecord(), but returns the problems as text for a log line. At most 20 problems are listed and the others
// are only counted, so that a large invalid record does not flood the log.
tl::expected<Declaration, std::string> parseRecord(const Record&);

} // namespace dogwoodhall
