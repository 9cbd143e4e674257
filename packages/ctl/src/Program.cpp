#include "dogwoodhall/ctl/Command.h"

#include <algorithm>
#include <boost/json.hpp>

namespace dogwoodhall {

namespace options = boost::program_options;

namespace {

std::vector<Command> makeCommands()
{
    std::vector<Command> commands;
    commands.push_back(checkCommand());
    commands.push_back(diffCommand());
    commands.push_back(explainCommand());
    commands.push_back(statusCommand());
    commands.push_back(whereCommand());
    commands.push_back(drainCommand());
    commands.push_back(whyCommand());
    commands.push_back(completionCommand());
    return commands;
}

void printProgramHelp(const std::vector<Command>& commands, std::ostream& out)
{
    out << "dogwoodhallctl: checks and explains dogwoodhall's configuration, and asks running processes\n\n"
        << "Usage: dogwoodhallctl COMMAND [ARGUMENTS]\n\nCommands:\n";
    for (const auto& command : commands)
        out << "  " << command.name << std::string(12 - command.name.size(), ' ') << command.summary << "\n";
    out << "\nExamples:\n";
    for (const auto& command : commands)
        out << "  dogwoodhallctl " << command.examples.front() << "\n";
    out << "\nExit status: 0 success, 1 the answer is no, 2 the input has to be corrected.\n"
        << "dogwoodhallctl COMMAND --help describes a command.\n";
}

void printCommandHelp(const Command& command, std::ostream& out)
{
    out << "dogwoodhallctl " << command.name << ": " << command.summary << "\n\n"
        << "Usage: dogwoodhallctl " << command.name << (command.usage.empty() ? "" : " ") << command.usage << "\n\n";
    if (const auto* files = command.options.find_nothrow("file", false))
        out << "Arguments:\n  " << command.usage << ": " << files->description() << "\n\n";
    out << command.namedOptions() << "\nExamples:\n";
    for (const auto& example : command.examples)
        out << "  dogwoodhallctl " << example << "\n";
}

int printError(std::ostream& err, const std::string& message)
{
    err << "dogwoodhallctl: " << message << "\n";
    return badInputExitStatus;
}

int fail(const Command& command, const std::string& message, bool asJson, std::ostream& out, std::ostream& err)
{
    if (!asJson)
        return printError(err, command.name + ": " + message);
    out << boost::json::object { { "error", message } } << "\n";
    return badInputExitStatus;
}

int runCommand(const Command& command, const std::vector<Command>& commands, std::vector<std::string> arguments,
    std::ostream& out, std::ostream& err)
{
    const auto description = command.allOptions();
    // Help is printed even if a required option is missing, which would be an error otherwise.
    for (const auto* help : { "--help", "-h" }) {
        if (std::find(arguments.begin(), arguments.end(), help) != arguments.end()) {
            printCommandHelp(command, out);
            return 0;
        }
    }
    const auto values = parseCommandLine(arguments, description, command.positional);
    const bool asJson = std::find(arguments.begin(), arguments.end(), "--json") != arguments.end();
    return values ? command.run({ command, *values, commands, out, err })
                  : fail(command, values.error(), asJson, out, err);
}

} // namespace

options::options_description Command::allOptions() const
{
    options::options_description all("Options");
    for (const auto& option : options.options())
        all.add(option);
    all.add_options()("json", "print the result as JSON")("help,h", "print this help");
    return all;
}

options::options_description Command::namedOptions() const
{
    options::options_description named("Options");
    const auto all = allOptions();
    for (const auto& option : all.options()) {
        if (option->long_name() != "file")
            named.add(option);
    }
    return named;
}

int Invocation::fail(const std::string& message, int status) const
{
    dogwoodhall::fail(command, message, wantsJson(), out, err);
    return status;
}

int runProgram(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    const auto commands = makeCommands();
    if (arguments.empty())
        return printError(err, "a command is required; see dogwoodhallctl --help");
    const auto& name = arguments.front();
    if (name == "--help" || name == "-h" || name == "help") {
        printProgramHelp(commands, out);
        return 0;
    }
    const auto it = std::find_if(commands.begin(), commands.end(), [&](const auto& it) { return it.name == name; });
    if (it != commands.end())
        return runCommand(*it, commands, { arguments.begin() + 1, arguments.end() }, out, err);
    std::vector<std::string> names { "--help" };
    for (const auto& command : commands)
        names.push_back(command.name);
    return printError(err, unknownNameMessage(name.starts_with('-') ? "option" : "command", name, names));
}

} // namespace dogwoodhall
