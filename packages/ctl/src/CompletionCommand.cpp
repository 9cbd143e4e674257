#include "dogwoodhall/ctl/Command.h"

#include <boost/json.hpp>
#include <sstream>

namespace dogwoodhall {

namespace {

std::string bashScript(const std::vector<Command>& commands)
{
    std::ostringstream script;
    std::string names;
    for (const auto& command : commands)
        names += command.name + " ";
    script << "# bash completion for dogwoodhallctl\n"
           << "_dogwoodhallctl()\n{\n"
           << "    local current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
           << "    local words=\"\"\n"
           << "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
           << "        words=\"" << names << "--help\"\n"
           << "    else\n"
           << "        case \"${COMP_WORDS[1]}\" in\n";
    for (const auto& command : commands) {
        script << "            " << command.name << ") words=\"";
        const auto description = command.namedOptions();
        for (const auto& option : description.options())
            script << "--" << option->long_name() << " ";
        script << "\" ;;\n";
    }
    script << "        esac\n"
           << "    fi\n"
           << "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
           << "}\n"
           // Completes file names if no option matches.
           << "complete -o default -F _dogwoodhallctl dogwoodhallctl\n";
    return script.str();
}

int runCompletion(const Invocation& invocation)
{
    const auto script = bashScript(invocation.commands);
    if (invocation.wantsJson())
        invocation.out << boost::json::object { { "script", script } } << "\n";
    else
        invocation.out << script;
    return 0;
}

} // namespace

Command completionCommand()
{
    return { "completion", "print a bash completion script", "",
        { "completion > /etc/bash_completion.d/dogwoodhallctl" }, {}, {}, runCompletion };
}

} // namespace dogwoodhall
