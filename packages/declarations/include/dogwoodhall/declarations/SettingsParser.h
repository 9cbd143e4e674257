#pragma once

#include "dogwoodhall/declarations/Problem.h"
#include "dogwoodhall/declarations/Settings.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dogwoodhall {

// Parses a settings file: JSON with comments, at most 64 KB. Returns all problems on failure. `file` is only used in
// the problems.
tl::expected<Settings, Problems> parseSettings(std::string_view text, const std::string& file = "");

} // namespace dogwoodhall
