#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dogwoodhall {

// Exit status for input that an operator has to correct: arguments, settings or records.
inline constexpr int badInputStatus = 2;

// Parses arguments, without the program's name. Abbreviated options are not accepted, so that a new option never
// changes what an old script means. The error names an unknown option and the known one that is nearest to it, or the
// first argument that is one too many.
tl::expected<boost::program_options::variables_map, std::string> parseCommandLine(
    const std::vector<std::string>& arguments, const boost::program_options::options_description&,
    const boost::program_options::positional_options_description& = {});

// "unknown option --settngs; did you mean --settings?", where one of the candidates is near.
std::string unknownName(const std::string& kind, const std::string& name, const std::vector<std::string>& candidates);

// The file's text, or why it cannot be read, without the path.
tl::expected<std::string, std::string> readFile(const std::string& path);

} // namespace dogwoodhall
