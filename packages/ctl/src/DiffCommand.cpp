#include "dogwoodhall/ctl/ChangeReport.h"
#include "dogwoodhall/ctl/Command.h"
#include "dogwoodhall/ctl/InputFiles.h"

#include <boost/json.hpp>

namespace dogwoodhall {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

void printJson(const std::vector<Change>& changes, std::ostream& out)
{
    json::array list;
    for (const auto& change : changes) {
        list.push_back(json::object { { "kind", change.kind }, { "service", change.service }, { "id", change.id },
            { "sentence", change.sentence } });
    }
    out << json::object { { "changes", std::move(list) } } << "\n";
}

int runDiff(const Invocation& invocation)
{
    const auto paths = invocation.has("file") ? invocation.arguments["file"].as<std::vector<std::string>>()
                                              : std::vector<std::string> {};
    if (paths.size() != 2)
        return invocation.fail("two files are required, OLD and NEW", badInputExitStatus);
    const auto before = readInputFiles({ paths[0] });
    const auto after = readInputFiles({ paths[1] });
    auto problems = before.problems;
    problems.insert(problems.end(), after.problems.begin(), after.problems.end());
    if (!problems.empty()) {
        printProblems(problems, invocation.wantsJson(), invocation.out);
        return badInputExitStatus;
    }
    auto changes = describeChanges(before.services, after.services);
    const auto links = describeChanges(
        before.topology.value_or(TopologyDeclaration {}), after.topology.value_or(TopologyDeclaration {}));
    changes.insert(changes.end(), links.begin(), links.end());
    const auto evacuations = describeChanges(before.evacuated, after.evacuated);
    changes.insert(changes.end(), evacuations.begin(), evacuations.end());
    if (invocation.wantsJson()) {
        printJson(changes, invocation.out);
        return 0;
    }
    for (const auto& change : changes)
        invocation.out << change.sentence << "\n";
    if (changes.empty())
        invocation.out << "The two mean the same.\n";
    return 0;
}

} // namespace

Command diffCommand()
{
    Command command { "diff", "say which services, endpoints and rules change, and what that does", "OLD NEW",
        { "diff records.json records.new.json" }, {}, {}, runDiff };
    command.options.add_options()("file", options::value<std::vector<std::string>>(),
        "a record or a bundle each; what only one of them holds is added or removed");
    command.positional.add("file", 2);
    return command;
}

} // namespace dogwoodhall
