#include "dogwoodhall/commandline/CommandLine.h"
#include "dogwoodhall/daemon/Daemon.h"
#include "dogwoodhall/declarations/SettingsParser.h"
#include "dogwoodhall/platform/Adapter.h"
#include "dogwoodhall/telemetry/Logging.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace options = boost::program_options;

namespace {

int reportError(const std::string& message)
{
    std::cerr << "dogwoodhalld: " << message << "\n";
    return dogwoodhall::badInputExitStatus;
}

int run(dogwoodhall::Daemon& daemon)
{
    try {
        return daemon.run();
    } catch (const std::exception& error) {
        return reportError(error.what());
    }
}

int runDaemon(const std::string& path, bool isCheckOnly)
{
    const auto text = dogwoodhall::readFile(path);
    if (!text)
        return reportError(path + ": " + text.error());
    const auto settings = dogwoodhall::parseSettings(*text, path);
    if (!settings) {
        std::cerr << toString(settings.error()) << "\n";
        return dogwoodhall::badInputExitStatus;
    }
    if (isCheckOnly) {
        std::cout << path << ": settings of " << settings->member << " are valid\n";
        return 0;
    }
    // Logs to standard error: standard output carries the listening addresses and the structured log.
    dogwoodhall::startLogging(std::clog, settings->log);
    const auto& registry = settings->registry;
    auto adapter = registry ? dogwoodhall::platform::makeAdapter(settings->platformAddress, registry->readPause)
                            : dogwoodhall::ownPlatformAdapter(settings->platformAddress);
    dogwoodhall::Daemon daemon(*settings, std::move(adapter), path);
    // Exits without running destructors: coroutines still suspended in the event loops refer to objects that would be
    // destroyed before the loops, and the process holds no resources other than memory.
    std::quick_exit(run(daemon));
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("dogwoodhalld: load balancer between callers and upstreams");
    description.add_options()("help,h", "print this help")("settings,s",
        options::value<std::string>()->value_name("FILE"),
        "settings file, JSON with comments; docs/configuration.md describes its fields")(
        "check", "check the settings file and exit: 0 where it is valid, 2 otherwise");
    const auto arguments = dogwoodhall::parseCommandLine({ argv + 1, argv + argc }, description);
    if (!arguments)
        return reportError(arguments.error());
    if (arguments->count("help")) {
        std::cout << description << "\nExamples:\n"
                  << "  dogwoodhalld --settings entry.json --check\n"
                  << "  dogwoodhalld --settings entry.json\n\n"
                  << "Exit status: 0 after a graceful stop, 2 the input has to be corrected, 3 after a forced stop.\n";
        return 0;
    }
    if (!arguments->count("settings"))
        return reportError("--settings FILE is required");
    return runDaemon((*arguments)["settings"].as<std::string>(), arguments->count("check") > 0);
}
