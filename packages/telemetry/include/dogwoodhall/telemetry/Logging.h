#pragma once

#include "dogwoodhall/core/LogOptions.h"

#include <boost/log/trivial.hpp>
#include <iosfwd>
#include <string>

// DOGWOODHALL_LOG(part, level) << "Sentence."; writes one log line, prefixed with the part. The part is one of daemon,
// config, fleet, peer, request, platform, trace; the level is debug, info, warning or error.
#define DOGWOODHALL_LOG(part, level) BOOST_LOG_TRIVIAL(level) << #part ": "

namespace dogwoodhall {

// Writes log lines to the stream, which must outlive all logging. Repeated lines are limited by a LogLimiter.
void startLogging(std::ostream&, const LogOptions&);

// Formats one line without a trailing newline. `line` has the form "part: Sentence.".
std::string formatLogLine(LogFormat, const std::string& time, const std::string& level, const std::string& line);

} // namespace dogwoodhall
