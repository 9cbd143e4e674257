#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodhall {

// Returns the candidate with the smallest edit distance to a mistyped name, ignoring case, or nullopt if that distance
// exceeds a third of the name's length (or 2, if that is more), because the suggestion would then be misleading.
std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& candidates);

} // namespace dogwoodhall
