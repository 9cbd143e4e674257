#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dogwoodhall {

// Exit status for invalid arguments, settings or records, which an operator has to correct.
inline constexpr int badInputExitStatus = 2;

// Parses arguments, excluding the program name. Abbreviated options are rejected, so that adding an option never
// changes the meaning of existing scripts. The error message names the unknown option and the most similar known one,
// or the first unexpected positional argument.
tl::expected<boost::program_options::variables_map, std::string> parseCommandLine(
    const std::vector<std::string>& arguments, const boost::program_options::options_description&,
    const boost::program_options::positional_options_description& = {});

// Formats a message such as "unknown option --settngs; did you mean --settings?". The suggestion is omitted if no
// candidate is similar.
std::string unknownNameMessage(
    const std::string& kind, const std::string& name, const std::vector<std::string>& candidates);

// Returns the contents of the file, or an error message that does not contain the path.
tl::expected<std::string, std::string> readFile(const std::string& path);

} // namespace dogwoodhall
