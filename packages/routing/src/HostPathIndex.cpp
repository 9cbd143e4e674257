#include "dogwoodhall/routing/HostPathIndex.h"

#include <algorithm>

namespace dogwoodhall {

void HostPathIndex::add(const std::string& hostName, const std::string& pathPrefix, std::size_t position)
{
    auto& prefixes = hostName.empty() ? m_forAnyHost : m_byHostName[hostName];
    prefixes.emplace(pathPrefix, position);
}

std::optional<std::size_t> HostPathIndex::find(std::string_view hostName, std::string_view path) const
{
    const auto any = longestMatch(m_forAnyHost, path);
    const auto host = m_byHostName.find(hostName);
    const auto named = host == m_byHostName.end() ? std::nullopt : longestMatch(host->second, path);
    if (!any && !named)
        return std::nullopt;
    if (!any || !named)
        return any ? any->position : named->position;
    if (any->prefixLength == named->prefixLength)
        return std::min(any->position, named->position);
    return any->prefixLength > named->prefixLength ? any->position : named->position;
}

std::optional<HostPathIndex::Match> HostPathIndex::longestMatch(const Prefixes& prefixes, std::string_view path)
{
    for (std::size_t n = path.size(); n > 0; --n) {
        const auto prefix = path.substr(0, n);
        if (!matchesPathPrefix(path, prefix))
            continue;
        if (const auto it = prefixes.find(prefix); it != prefixes.end())
            return Match { n, it->second };
    }
    return std::nullopt;
}

bool matchesPathPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace dogwoodhall
