#include "StandInOptions.h"

#include <cstdlib>
#include <iostream>
#include <utility>

namespace dogwoodhall {

namespace options = boost::program_options;

StandInArguments parseStandInArguments(int argc, const char* const* argv, options::options_description description)
{
    description.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address");
    StandInArguments arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments.others);
    auto address = parseNetworkAddress(arguments.others["listen"].as<std::string>());
    if (!address) {
        std::cerr << "--listen: expected IP:PORT\n";
        std::exit(2);
    }
    arguments.listen = std::move(*address);
    return arguments;
}

} // namespace dogwoodhall
