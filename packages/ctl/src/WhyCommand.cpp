#include "dogwoodhall/ctl/Command.h"
#include "dogwoodhall/ctl/RequestTimeline.h"

#include <boost/json.hpp>
#include <fstream>
#include <iostream>

namespace dogwoodhall {

namespace options = boost::program_options;

namespace {

int runWhy(const Invocation& invocation)
{
    if (!invocation.has("file"))
        return invocation.fail("REQUEST-ID is required", badInputExitStatus);
    const auto words = invocation.arguments["file"].as<std::vector<std::string>>();
    RequestTimeline timeline(words.front());
    for (std::size_t n = 1; n < words.size(); ++n) {
        std::ifstream file(words[n]);
        if (!file)
            return invocation.fail("cannot read " + words[n], badInputExitStatus);
        timeline.read(file, words[n]);
    }
    if (words.size() == 1)
        timeline.read(std::cin, "-");
    timeline.sort();
    if (invocation.wantsJson())
        invocation.out << boost::json::serialize(timeline.toJson()) << "\n";
    else if (!timeline.empty())
        invocation.out << timeline.toText();
    if (timeline.malformedLines() > 0 && !invocation.wantsJson())
        invocation.err << "dogwoodhallctl: why: " << timeline.malformedLines() << " malformed lines were left out\n";
    if (!timeline.empty())
        return 0;
    return invocation.wantsJson() ? negativeStatus
                                  : invocation.fail("no line names request " + words.front(), negativeStatus);
}

} // namespace

Command whyCommand()
{
    Command command { "why", "tell what became of a request, from the structured logs of entry hosts",
        "REQUEST-ID [FILE...]",
        { "why 9c41d07be2a35f68 entry-1.log entry-2.log", "why --json 9c41d07be2a35f68 all.log" }, {}, {}, runWhy };
    command.options.add_options()("file", options::value<std::vector<std::string>>(),
        "the caller's id of the request, and log files; standard input where there is no file");
    command.positional.add("file", -1);
    return command;
}

} // namespace dogwoodhall
