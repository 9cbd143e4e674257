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

options::variables_map parse(const std::vector<std::string>& arguments, const options::options_description& description,
    const options::positional_options_description& positional)
{
    using namespace options::command_line_style;
    options::command_line_parser parser(arguments);
    parser.options(description).positional(positional).style(unix_style & ~allow_guessing);
    options::variables_map values;
    options::store(parser.run(), values);
    options::notify(values);
    return values;
}

// Finds the first unexpected positional argument, which Boost does not report.
std::string firstUnexpectedArgument(const std::vector<std::string>& arguments,
    const options::options_description& description, const options::positional_options_description& positional)
{
    for (std::size_t n = 1; n <= arguments.size(); ++n) {
        try {
            parse({ arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(n) }, description, positional);
        } catch (const options::too_many_positional_options_error&) {
            return arguments[n - 1];
        } catch (const options::error&) {
            continue; // The value of an option or a required option is still to come.
        }
    }
    return {};
}

} // namespace

tl::expected<options::variables_map, std::string> parseCommandLine(const std::vector<std::string>& arguments,
    const options::options_description& description, const options::positional_options_description& positional)
{
    try {
        return parse(arguments, description, positional);
    } catch (const options::unknown_option& error) {
        return tl::unexpected(unknownNameMessage("option", error.get_option_name(), longNames(description)));
    } catch (const options::too_many_positional_options_error&) {
        return tl::unexpected("unexpected argument " + firstUnexpectedArgument(arguments, description, positional));
    } catch (const options::error& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

std::string unknownNameMessage(
    const std::string& kind, const std::string& name, const std::vector<std::string>& candidates)
{
    const std::string message = "unknown " + kind + " " + name;
    const auto nearest = nearestName(name, candidates);
    return nearest ? message + "; did you mean " + *nearest + "?" : message;
}

tl::expected<std::string, std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    // Opening a directory with an ifstream succeeds; only reading from it fails.
    if (!file || (file.peek() == std::ifstream::traits_type::eof() && !file.eof()))
        return tl::unexpected(std::string("cannot be read: ") + std::strerror(errno));
    file.clear();
    text << file.rdbuf();
    return text.str();
}

} // namespace dogwoodhall
