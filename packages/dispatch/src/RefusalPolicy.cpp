#include "dogwoodhall/dispatch/RefusalPolicy.h"

#include <algorithm>
#include <random>

namespace dogwoodhall {

namespace {

// Sooner than this an endpoint that had no room hardly has any: a third of a short request.
constexpr Duration shortestWait = std::chrono::milliseconds(25);
// Callers that cannot be served in time are asked to come back within this, to be served late.
constexpr Duration lateWait = std::chrono::milliseconds(300);
// Room for service times above the expected one: one in six is longer by more than this.
constexpr double expectedMargin = 1.4;
// A caller's new connection and its request and answer.
constexpr Duration callerRoundTrip = std::chrono::milliseconds(15);
// Callers heed a time of up to a third of what they have left.
constexpr int heededPart = 3;

} // namespace

std::optional<Duration> spreadWithinGoal(const RefusalQuery& query, RandomEngine& random)
{
    const Duration heeded = query.timeLeft / heededPart;
    if (heeded <= shortestWait)
        return std::nullopt;
    const Duration untilLate = query.goalLeft - scaled(query.expected, expectedMargin) - callerRoundTrip;
    const Duration longest = std::min(untilLate > shortestWait ? untilLate : lateWait, heeded);
    std::uniform_int_distribution<Duration::rep> wait(shortestWait.count(), std::max(longest, shortestWait).count());
    return Duration(wait(random));
}

} // namespace dogwoodhall
