#include "dogwoodhall/daemon/control/WhereQuery.h"

#include "dogwoodhall/daemon/traffic/HeaderValues.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace dogwoodhall {

namespace {

using Arguments = std::map<std::string, std::string, std::less<>>;

constexpr std::array<std::string_view, 4> argumentNames { "host", "path", "method", "timeLeftMs" };
constexpr std::int64_t maxTimeLeftMs = 24 * 3600 * 1000;

template <typename Number> std::optional<Number> parseWhole(std::string_view text, int base)
{
    Number value {};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Empty if an escape is malformed.
std::optional<std::string> decodePercentEscapes(std::string_view text)
{
    std::string decoded;
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        const auto value = text.size() < 3 ? std::nullopt : parseWhole<std::uint8_t>(text.substr(1, 2), 16);
        if (!value)
            return std::nullopt;
        decoded += static_cast<char>(*value);
        text.remove_prefix(3);
    }
    return decoded;
}

bool isVisible(char c) { return c > ' ' && c <= '~'; }
bool isTokenCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

tl::expected<Arguments, std::string> splitArguments(std::string_view text)
{
    Arguments arguments;
    while (!text.empty()) {
        const auto item = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(item.size() + 1, text.size()));
        const auto equals = item.find('=');
        const auto name = item.substr(0, equals);
        if (std::find(argumentNames.begin(), argumentNames.end(), name) == argumentNames.end())
            return tl::unexpected<std::string>("expected only the arguments host, path, method and timeLeftMs");
        const std::string known(name);
        auto value = decodePercentEscapes(equals == std::string_view::npos ? "" : item.substr(equals + 1));
        if (!value)
            return tl::unexpected(known + ": expected two hexadecimal digits after each %");
        if (!arguments.emplace(known, std::move(*value)).second)
            return tl::unexpected(known + ": expected at most once");
    }
    return arguments;
}

} // namespace

tl::expected<WhereQuery, std::string> parseWhereQuery(std::string_view target)
{
    const auto start = target.find('?');
    const auto arguments = splitArguments(start == std::string_view::npos ? "" : target.substr(start + 1));
    if (!arguments)
        return tl::unexpected(arguments.error());
    const auto valueOf = [&](std::string_view name) {
        const auto it = arguments->find(name);
        return it == arguments->end() ? std::string() : it->second;
    };
    WhereQuery query;
    query.hostName = valueOf("host");
    const auto& host = query.hostName;
    const bool hasPort = host.find(':') != std::string::npos && !host.ends_with(']');
    if (host.empty() || hasPort || !std::all_of(host.begin(), host.end(), isVisible))
        return tl::unexpected<std::string>("host: expected a host name without port");
    query.path = pathOf(valueOf("path"));
    // Bytes above 127 are legal in the target of a request.
    const bool hasControl = std::any_of(query.path.begin(), query.path.end(),
        [](char c) { return static_cast<unsigned char>(c) <= ' ' || c == '\x7f'; });
    if (!query.path.starts_with('/') || hasControl)
        return tl::unexpected<std::string>("path: expected a path that starts with '/', without spaces");
    if (arguments->contains("method"))
        query.method = valueOf("method");
    if (query.method.empty() || !std::all_of(query.method.begin(), query.method.end(), isTokenCharacter))
        return tl::unexpected<std::string>("method: expected an HTTP method");
    if (arguments->contains("timeLeftMs")) {
        const auto milliseconds = parseWhole<std::int64_t>(valueOf("timeLeftMs"), 10);
        if (!milliseconds || *milliseconds < 1 || *milliseconds > maxTimeLeftMs) {
            return tl::unexpected("timeLeftMs: expected a whole number from 1 to " + std::to_string(maxTimeLeftMs));
        }
        query.timeLeft = std::chrono::milliseconds(*milliseconds);
    }
    return query;
}

} // namespace dogwoodhall
