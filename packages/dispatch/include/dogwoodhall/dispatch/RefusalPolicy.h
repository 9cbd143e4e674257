#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/core/Units.h"

#include <functional>
#include <optional>

namespace dogwoodhall {

// Input for the retry time of a refused request.
struct RefusalQuery {
    Duration goalLeft {}; // Negative if the latency goal has passed.
    Duration timeLeft {}; // Time until the deadline.
    Duration expected {}; // Service time at an idle endpoint.
    Duration notBefore {}; // An earlier retry is refused, since all endpoints rest.
};

// Returns the time after which the caller should retry, or nullopt to state none.
using RetryAfterPolicy = std::function<std::optional<Duration>(const RefusalQuery&, RandomEngine&)>;

// Returns a uniformly random time within which a retry can still meet the latency goal, so that the callers refused in
// a demand peak do not all retry at once. While all endpoints rest, the time is after the rest, even if the caller
// cannot wait for so long: an earlier retry is of no use to it.
std::optional<Duration> jitterWithinGoal(const RefusalQuery&, RandomEngine&);

} // namespace dogwoodhall
