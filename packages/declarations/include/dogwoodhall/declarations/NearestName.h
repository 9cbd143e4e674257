#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodhall {

// The candidate that a mistyped name most likely means: the one with the smallest edit distance, ignoring case. Empty
// where the distance exceeds a third of the name's length (at least 2), as a hint would then mislead.
std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& candidates);

} // namespace dogwoodhall
