#include "dogwoodhall/commandline/CommandLine.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace dogwoodhall;

struct ArgumentsRow {
    const char* arguments; // Separated by spaces.
    const char* error; // Empty if accepted.
};

const ArgumentsRow rows[] = {
    { "--settings a.json --check", "" },
    { "-s a.json", "" },
    { "--settngs a.json", "unknown option --settngs; did you mean --settings?" },
    { "--chekc", "unknown option --chekc; did you mean --check?" },
    { "--che", "unknown option --che; did you mean --check?" },
    { "--xyzzy", "unknown option --xyzzy" },
    { "-q", "unknown option -q" },
    { "--settings", "the required argument for option '--settings' is missing" },
    { "a.json", "unexpected argument a.json" },
    { "--settings a.json b.json --check", "unexpected argument b.json" },
};

// Guards against ignoring an unknown option, and against an error message that does not name it.
ParameterizedTestParameters(CommandLine, namesUnknownOptions) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, CommandLine, namesUnknownOptions)
{
    const ArgumentsRow& row = rows[*index];
    boost::program_options::options_description description;
    description.add_options()("settings,s", boost::program_options::value<std::string>(), "")("check", "");
    std::istringstream words(row.arguments);
    std::vector<std::string> arguments;
    for (std::string word; words >> word;)
        arguments.push_back(word);
    const auto values = parseCommandLine(arguments, description);
    const std::string error = values ? "" : values.error();
    cr_assert_str_eq(error.c_str(), row.error);
}
