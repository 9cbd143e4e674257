// Before criterion.h, whose macro Test would replace names inside Boost.
#include "TemporaryFolder.h"
#include "TestClient.h"

#include <boost/json.hpp>

#include "TableRows.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <regex>

using namespace dogwoodhall;

namespace {

namespace json = boost::json;

// Settings whose platform refuses connections, which is logged as a warning; a graceful stop is logged at level info.
json::object settingsFor(const NetworkAddress& platform)
{
    const char* const ephemeralAddress = "127.0.0.1:0";
    return { { "member", "e0" }, { "dataCentre", "dc0" }, { "callerAddress", ephemeralAddress },
        { "peerAddress", ephemeralAddress }, { "adminAddress", ephemeralAddress },
        { "platformAddress", toString(platform) } };
}

struct LogLine {
    std::string time;
    std::string level;
    std::string part;
    std::string message;
};

LogLine parseJson(const std::string& text)
{
    const auto object = json::parse(text).as_object();
    cr_assert_eq(object.size(), 4, "%s", text.c_str());
    const auto field = [&](const char* name) { return json::value_to<std::string>(object.at(name)); };
    return { field("time"), field("level"), field("part"), field("message") };
}

LogLine parseText(const std::string& text)
{
    const std::regex form("(\\S+) (\\S+) (\\S+): (.+)");
    std::smatch match;
    cr_assert(std::regex_match(text, match, form), "%s", text.c_str());
    return { match[1], match[2], match[3], match[4] };
}

std::vector<std::string> linesOf(const std::string& path)
{
    std::vector<std::string> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
        lines.push_back(line);
    return lines;
}

// Log lines of one daemon from its start to a graceful stop, which follows the warning.
std::vector<std::string> linesOfOneRun(const json::object& more, bool logsWarning)
{
    const TemporaryFolder folder;
    const ReservedPort platform;
    const auto settings = (folder / "settings.json").string();
    const auto log = (folder / "log").string();
    auto fields = settingsFor(platform.address());
    fields.insert(more.begin(), more.end());
    std::ofstream(settings) << fields;
    Process daemon({ "/bin/sh", "-c", R"(exec "$0" --settings "$1" 2> "$2")", DAEMON_BINARY, settings, log });
    daemon.readListening();
    // If the level suppresses the warning, there is no line to wait for; the read that causes it happens at the start.
    if (logsWarning)
        cr_assert(eventually([&] { return !linesOf(log).empty(); }));
    else
        ::usleep(500'000);
    daemon.signal(SIGTERM);
    cr_assert_eq(daemon.waitForExit().value_or(-1), 0);
    return linesOf(log);
}

} // namespace

struct LogRow {
    const char* name;
    json::object settings;
    LogLine (*parse)(const std::string&);
    std::vector<std::string> levels; // All that occur.
};

const LogRow rows[] = {
    { "defaults", {}, parseText, { "info", "warning" } },
    { "text", { { "logFormat", "text" }, { "logLevel", "debug" } }, parseText, { "info", "warning" } },
    { "json", { { "logFormat", "json" } }, parseJson, { "info", "warning" } },
    { "json warnings", { { "logFormat", "json" }, { "logLevel", "warning" } }, parseJson, { "warning" } },
    { "json errors", { { "logFormat", "json" }, { "logLevel", "error" } }, parseJson, {} },
};

// Guards against log settings that are validated but not applied, and against lines that a log collector cannot parse.
ParameterizedTestParameters(Log, followsTheSettings) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Log, followsTheSettings, .timeout = 60)
{
    const auto& row = rows[*index];
    const std::regex utc(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z)");
    std::vector<std::string> levels;
    for (const auto& text : linesOfOneRun(row.settings, !row.levels.empty())) {
        const auto line = row.parse(text);
        cr_assert(std::regex_match(line.time, utc), "%s: %s", row.name, text.c_str());
        cr_assert(line.part == "daemon" || line.part == "platform", "%s: %s", row.name, text.c_str());
        cr_assert(line.message.ends_with("."), "%s: %s", row.name, text.c_str());
        levels.push_back(line.level);
    }
    std::sort(levels.begin(), levels.end());
    levels.erase(std::unique(levels.begin(), levels.end()), levels.end());
    cr_assert(levels == row.levels, "%s: other levels", row.name);
}
