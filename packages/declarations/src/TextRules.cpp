#include "TextRules.h"

#include "dogwoodhall/core/NetworkAddress.h"

#include <algorithm>
#include <array>

namespace dogwoodhall {

namespace {

constexpr std::size_t maxIdLength = 100;
constexpr std::size_t maxHostNameLength = 253; // RFC 1035, in text form.
constexpr std::size_t maxPathLength = 1024;
constexpr std::size_t maxMethodLength = 32;

bool isLetterOrDigit(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); }

bool consistsOf(std::string_view text, std::size_t maxLength, std::string_view othersAllowed)
{
    return !text.empty() && text.size() <= maxLength && std::all_of(text.begin(), text.end(), [&](char c) {
        return isLetterOrDigit(c) || othersAllowed.find(c) != std::string_view::npos;
    });
}

bool isPath(std::string_view text)
{
    return text.starts_with('/') && text.size() <= maxPathLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#'; });
}

bool isMethod(std::string_view text)
{
    return !text.empty() && text.size() <= maxMethodLength
        && std::all_of(text.begin(), text.end(), [](char c) { return (c >= 'A' && c <= 'Z') || c == '-'; });
}

} // namespace

const TextRule& idText()
{
    static const TextRule rule { "a name of 1 to 100 letters, digits, '.', '_' or '-'",
        [](std::string_view text) { return consistsOf(text, maxIdLength, "._-"); } };
    return rule;
}

const TextRule& hostNameText()
{
    static const TextRule rule { "a host name without port",
        [](std::string_view text) { return consistsOf(text, maxHostNameLength, ".-"); } };
    return rule;
}

const TextRule& pathText()
{
    static const TextRule rule { "a path that starts with '/', without query", isPath };
    return rule;
}

const TextRule& methodText()
{
    static const TextRule rule { "an HTTP method in capital letters", isMethod };
    return rule;
}

const TextRule& listeningAddressText()
{
    static const TextRule rule { "IP:PORT",
        [](std::string_view text) { return parseNetworkAddress(text).has_value(); } };
    return rule;
}

const TextRule& remoteAddressText()
{
    static const TextRule rule { "IP:PORT with a port from 1 to 65535",
        [](std::string_view text) { return parseRemoteAddress(text).has_value(); } };
    return rule;
}

const TextRule& workClassText()
{
    static const TextRule rule { "\"short\" or \"long\"",
        [](std::string_view text) { return text == "short" || text == "long"; } };
    return rule;
}

const TextRule& priorityText()
{
    static const TextRule rule { "\"normal\" or \"low\"",
        [](std::string_view text) { return text == "normal" || text == "low"; } };
    return rule;
}

const TextRule& logFormatText()
{
    static const TextRule rule { "\"text\" or \"json\"",
        [](std::string_view text) { return text == "text" || text == "json"; } };
    return rule;
}

const TextRule& logLevelText()
{
    static const TextRule rule { "\"debug\", \"info\", \"warning\" or \"error\"",
        [](std::string_view text) { return findLogLevel(text).has_value(); } };
    return rule;
}

std::optional<LogLevel> findLogLevel(std::string_view name)
{
    // In the order of the values of LogLevel.
    static constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end())
        return std::nullopt;
    return static_cast<LogLevel>(it - names.begin());
}

} // namespace dogwoodhall
