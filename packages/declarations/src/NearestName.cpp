#include "dogwoodhall/declarations/NearestName.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dogwoodhall {

namespace {

// Longer names are not compared, because computing the distance takes time proportional to the product of the lengths.
constexpr std::size_t maxComparedLength = 64;

char lowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (lowerCase(a[i - 1]) == lowerCase(b[j - 1]) ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ substituted, row[j] + 1, row[j - 1] + 1 });
        }
    }
    return row.back();
}

} // namespace

std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& candidates)
{
    if (name.size() > maxComparedLength)
        return std::nullopt;
    std::optional<std::string> nearest;
    std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const auto& candidate : candidates) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < best && distance < candidate.size()) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace dogwoodhall
