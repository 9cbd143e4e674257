#pragma once

#include <algorithm>
#include <string_view>

namespace dogwoodhall {

// Case-insensitive order of host names (RFC 9110, 4.2.3).
struct HostNameLess {
    using is_transparent = void;

    bool operator()(std::string_view a, std::string_view b) const
    {
        return std::lexicographical_compare(
            a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLower(x) < toLower(y); });
    }

private:
    static char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
};

} // namespace dogwoodhall
