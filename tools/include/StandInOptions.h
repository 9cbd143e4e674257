#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <boost/program_options.hpp>

namespace dogwoodhall {

// The command line of a stand-in.
struct StandInArguments {
    NetworkAddress listen;
    boost::program_options::variables_map others;
};

// Parses the command line: --listen IP:PORT, by default a port of 127.0.0.1 that the kernel chooses, and the options of
// `others`. If an option is unknown or malformed, prints the error and exits with status 2. Exits with status 0 after
// --help.
StandInArguments parseStandInArguments(
    int argc, const char* const* argv, boost::program_options::options_description others);

} // namespace dogwoodhall
