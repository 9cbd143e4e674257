#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/core/Units.h"

#include <functional>
#include <optional>

namespace dogwoodhall {

// What is known when no endpoint has room for a request.
struct RefusalQuery {
    Duration goalLeft {}; // Negative: the goal has passed.
    Duration timeLeft {}; // Until no answer is of use.
    Duration expected {}; // Of the request at a free endpoint.
};

// When the caller should come back; empty where it need not.
using RetryAfterPolicy = std::function<std::optional<Duration>(const RefusalQuery&, RandomEngine&)>;

// Asks callers to come back while the request can still be answered in time, spread evenly over that span, so that a
// crest that is refused does not return as one.
std::optional<Duration> spreadWithinGoal(const RefusalQuery&, RandomEngine&);

} // namespace dogwoodhall
