#pragma once

#include "dogwoodhall/commandline/CommandLine.h"

#include <functional>
#include <ostream>

namespace dogwoodhall {

// Exit status where the input was valid and the answer is no: no route, no process, still running.
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
    // Prints why the command fails, as {"error": "..."} where JSON is wanted. Gives the exit status.
    int fail(const std::string& message, int status) const;
};

// One subcommand of dogwoodhallctl.
struct Command {
    std::string name;
    std::string summary;
    std::string usage; // Arguments after the name.
    std::vector<std::string> examples;
    boost::program_options::options_description options; // Without --json and --help, which each command has.
    boost::program_options::positional_options_description positional; // To "file", if any.
    std::function<int(const Invocation&)> run; // Gives the exit status.

    boost::program_options::options_description allOptions() const;
    // Those that are named on the command line.
    boost::program_options::options_description namedOptions() const;
};

Command checkCommand();
Command diffCommand();
Command explainCommand();
Command statusCommand();
Command drainCommand();
Command whyCommand();
Command completionCommand();

// Runs the program with its arguments, without its name. Gives the exit status.
int runProgram(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace dogwoodhall
