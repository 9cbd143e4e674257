#pragma once

#include "dogwoodhall/core/HostName.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

// Finds the entry with a matching host name and the longest path prefix that matches whole segments. A lookup takes one
// search in a sorted map per path segment, regardless of the number of entries.
class HostPathIndex {
public:
    // Adds an entry; find() returns `position`. An empty host name matches any host. If several entries have the same
    // host name and prefix, the first one is kept.
    void add(const std::string& hostName, const std::string& pathPrefix, std::size_t position);

    // Returns the position of the best match. Host names are case-insensitive. Of two prefixes of equal length the
    // lower position is returned.
    std::optional<std::size_t> find(std::string_view hostName, std::string_view path) const;

private:
    struct Match {
        std::size_t prefixLength;
        std::size_t position;
    };
    using Prefixes = std::map<std::string, std::size_t, std::less<>>;

    static std::optional<Match> longestMatch(const Prefixes&, std::string_view path);

    std::map<std::string, Prefixes, HostNameLess> m_byHostName;
    Prefixes m_forAnyHost;
};

// "/a" matches "/a" and "/a/b", not "/ab".
bool matchesPathPrefix(std::string_view path, std::string_view prefix);

} // namespace dogwoodhall
