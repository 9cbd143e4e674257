#pragma once

#include "dogwoodhall/declarations/Settings.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dogwoodhall {

// Parses a settings file: JSON with comments. The error names place, what was expected and what was found.
tl::expected<Settings, std::string> parseSettings(std::string_view text);

} // namespace dogwoodhall
