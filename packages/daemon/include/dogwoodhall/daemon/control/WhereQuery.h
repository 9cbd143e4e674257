#pragma once

#include "dogwoodhall/core/Units.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dogwoodhall {

// The request that GET /where asks about.
struct WhereQuery {
    std::string hostName; // Without port.
    std::string path; // Without the query string.
    std::string method = "GET";
    std::optional<Duration> timeLeft; // That the caller states.
};

// Parses the target of GET /where. The error is a sentence about the argument that has to be corrected.
tl::expected<WhereQuery, std::string> parseWhereQuery(std::string_view target);

} // namespace dogwoodhall
