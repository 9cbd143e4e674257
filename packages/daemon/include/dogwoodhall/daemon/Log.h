#pragma once

#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>

// DOGWOODHALL_LOG(part, level) << "Sentence.": one log line with the part's fixed prefix. Levels are those of
// Boost.Log's trivial severities.
#define DOGWOODHALL_LOG(part, level) BOOST_LOG_TRIVIAL(level) << #part ": "
