#include "StandInOptions.h"

#include <cstdlib>
#include <iostream>
#include <utility>

namespace dogwoodhall {

namespace options = boost::program_options;

namespace {

[[noreturn]] void exitWithError(const std::string& message)
{
    std::cerr << message << "\n";
    std::exit(2);
}

} // namespace

StandInArguments parseStandInArguments(int argc, const char* const* argv, options::options_description description)
{
    description.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address")(
        "help", "print this help");
    StandInArguments arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments.others);
    } catch (const options::error& error) {
        exitWithError(error.what());
    }
    if (arguments.others.count("help") > 0) {
        std::cout << description << "The head of the program's source describes its calls.\n";
        std::exit(0);
    }
    try {
        options::notify(arguments.others);
    } catch (const options::error& error) {
        exitWithError(error.what());
    }
    auto address = parseNetworkAddress(arguments.others["listen"].as<std::string>());
    if (!address)
        exitWithError("--listen: expected IP:PORT");
    arguments.listen = *address;
    return arguments;
}

} // namespace dogwoodhall
