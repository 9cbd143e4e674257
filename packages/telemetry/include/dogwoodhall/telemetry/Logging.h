#pragma once

#include <boost/log/trivial.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>

// DOGWOODHALL_LOG(part, level) << "Sentence."; writes one log line with the part's fixed prefix. The part is one of
// daemon, config, fleet, peer, request, platform, trace; the level is trace, debug, info, warning, error or fatal.
#define DOGWOODHALL_LOG(part, level) BOOST_LOG_TRIVIAL(level) << #part ": "

namespace dogwoodhall {

enum class LogFormat : std::uint8_t {
    Text, // 2026-01-31T12:00:00.123Z warning config: Sentence.
    Json, // {"time":...,"level":...,"part":...,"message":...}
};

struct LogOptions {
    LogFormat format = LogFormat::Text;
    boost::log::trivial::severity_level level = boost::log::trivial::info;
};

// Sends log lines to the stream, which must outlive logging. Repeated lines are limited by a LogLimiter.
void startLogging(std::ostream&, const LogOptions&);

// One line in the given format, without line end. `line` is "part: Sentence.".
std::string formatLogLine(LogFormat, const std::string& time, const std::string& level, const std::string& line);

} // namespace dogwoodhall
