#include "dogwoodhall/daemon/Daemon.h"
#include "dogwoodhall/declarations/SettingsParser.h"

#include <boost/log/utility/setup/console.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace options = boost::program_options;

namespace {

constexpr int badInputStatus = 2;

int runDaemon(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return badInputStatus;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto settings = dogwoodhall::parseSettings(text.str());
    if (!settings) {
        std::cerr << path << ": " << settings.error() << "\n";
        return badInputStatus;
    }
    // Standard output carries the listening addresses only.
    boost::log::add_console_log(std::clog);
    return dogwoodhall::Daemon(*settings).run();
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("dogwoodhalld: load balancer between callers and upstreams");
    description.add_options()("help,h", "print this help")(
        "settings,s", options::value<std::string>(), "settings file, JSON with comments");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
    } catch (const options::error& error) {
        std::cerr << "dogwoodhalld: " << error.what() << "\n";
        return badInputStatus;
    }
    if (arguments.count("help")) {
        std::cout << description;
        return 0;
    }
    if (!arguments.count("settings")) {
        std::cerr << "dogwoodhalld: --settings FILE is required\n";
        return badInputStatus;
    }
    return runDaemon(arguments["settings"].as<std::string>());
}
