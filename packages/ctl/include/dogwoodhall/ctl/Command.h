#pragma once

#include "dogwoodhall/commandline/CommandLine.h"

#include <functional>
#include <ostream>

namespace dogwoodhall {

// Exit status for valid input with a negative result: no route, no process, or the process is still running.
inline constexpr int negativeStatus = 1;

struct Command;

struct Invocation {
    const Command& command;
    const boost::program_options::variables_map& arguments;
    const std::vector<Command>& commands;
    std::ostream& out;
    std::ostream& err;

    bool wantsJson() const { return arguments.count("json") > 0; }
    bool has(const std::string& option) const { return arguments.count(option) > 0; }
    std::string text(const std::string& option) const { return arguments[option].as<std::string>(); }
    // Prints the error message, as {"error": "..."} if JSON was requested. Returns `status`.
    int fail(const std::string& message, int status) const;
};

// A subcommand of dogwoodhallctl.
struct Command {
    std::string name;
    std::string summary;
    std::string usage; // Arguments after the command's name.
    std::vector<std::string> examples;
    boost::program_options::options_description options; // Without --json and --help, which all commands have.
    boost::program_options::positional_options_description positional; // Mapped to "file", if there are any.
    std::function<int(const Invocation&)> run; // Returns the exit status.

    boost::program_options::options_description allOptions() const;
    // The options without positional arguments.
    boost::program_options::options_description namedOptions() const;
};

Command checkCommand();
Command diffCommand();
Command explainCommand();
Command statusCommand();
Command whereCommand();
Command drainCommand();
Command whyCommand();
Command completionCommand();

// Runs dogwoodhallctl with its arguments, without the program name. Returns the exit status.
int runProgram(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace dogwoodhall
