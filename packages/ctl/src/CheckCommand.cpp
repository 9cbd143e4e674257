#include "dogwoodhall/ctl/Command.h"
#include "dogwoodhall/ctl/InputFiles.h"

namespace dogwoodhall {

namespace options = boost::program_options;

namespace {

int runCheck(const Invocation& invocation)
{
    if (!invocation.has("file"))
        return invocation.fail("at least one FILE is required", badInputExitStatus);
    const auto paths = invocation.arguments["file"].as<std::vector<std::string>>();
    const auto input = readInputFiles(paths);
    printProblems(input.problems, invocation.wantsJson(), invocation.out);
    if (!input.problems.empty())
        return badInputExitStatus;
    if (!invocation.wantsJson()) {
        invocation.out << paths.size() << (paths.size() == 1 ? " file is" : " files are")
                       << " valid: " << input.settings.size() << " settings, " << input.services.size() << " services, "
                       << (input.topology ? "1 topology" : "no topology, so that data centres were not checked")
                       << "\n";
    }
    return 0;
}

} // namespace

Command checkCommand()
{
    Command command { "check", "check settings and records, offline", "FILE...",
        { "check entry.json records.json", "check --json topology.json services/claims.json" }, {}, {}, runCheck };
    command.options.add_options()("file", options::value<std::vector<std::string>>(),
        "settings, a record, or a bundle of records by key {\"records\": {\"services/x\": {...}, \"topology\": "
        "{...}}}");
    command.positional.add("file", -1);
    return command;
}

} // namespace dogwoodhall
