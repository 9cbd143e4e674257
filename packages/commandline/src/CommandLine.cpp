#include "dogwoodhall/commandline/CommandLine.h"

#include "dogwoodhall/declarations/NearestName.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace dogwoodhall {

namespace options = boost::program_options;

namespace {

std::vector<std::string> longNames(const options::options_description& description)
{
    std::vector<std::string> names;
    for (const auto& option : description.options())
        names.push_back("--" + option->long_name());
    return names;
}

} // namespace

tl::expected<options::variables_map, std::string> parseCommandLine(const std::vector<std::string>& arguments,
    const options::options_description& description, const options::positional_options_description& positional)
{
    using namespace options::command_line_style;
    options::variables_map values;
    try {
        options::command_line_parser parser(arguments);
        parser.options(description).positional(positional).style(unix_style & ~allow_guessing);
        options::store(parser.run(), values);
        options::notify(values);
    } catch (const options::unknown_option& error) {
        return tl::unexpected(unknownName("option", error.get_option_name(), longNames(description)));
    } catch (const options::error& error) {
        return tl::unexpected(std::string(error.what()));
    }
    return values;
}

std::string unknownName(const std::string& kind, const std::string& name, const std::vector<std::string>& candidates)
{
    const std::string message = "unknown " + kind + " " + name;
    const auto nearest = nearestName(name, candidates);
    return nearest ? message + "; did you mean " + *nearest + "?" : message;
}

tl::expected<std::string, std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    // An ifstream opens a directory without an error; only reading from it fails.
    if (!file || (file.peek() == std::ifstream::traits_type::eof() && !file.eof()))
        return tl::unexpected(path + ": cannot be read: " + std::strerror(errno));
    file.clear();
    text << file.rdbuf();
    return text.str();
}

} // namespace dogwoodhall
