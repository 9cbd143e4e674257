#include "dogwoodhall/dispatch/RefusalPolicy.h"

#include <algorithm>
#include <random>

namespace dogwoodhall {

namespace {

// A full endpoint rarely has a free slot earlier: a third of the service time of a short request.
constexpr Duration minRetryAfter = std::chrono::milliseconds(25);
// Range of retry times for callers that can no longer be served in time, only late.
constexpr Duration lateRetryWindow = std::chrono::milliseconds(300);
// Factor on the expected service time; one request in six takes longer.
constexpr double expectedTimeFactor = 1.4;
// Time for a caller's new connection, request and response.
constexpr Duration callerRoundTrip = std::chrono::milliseconds(15);
// Callers follow a retry time of up to a third of their remaining time.
constexpr int timeLeftDivisor = 3;
// Callers that were refused during a rest return over at least this part of it, as more of them wait after a long one.
constexpr int restSpreadDivisor = 10;
// Retry times are stated in milliseconds; rounding must not move one into the rest.
constexpr Duration statedUnit = std::chrono::milliseconds(1);

} // namespace

std::optional<Duration> jitterWithinGoal(const RefusalQuery& query, RandomEngine& random)
{
    if (query.notBefore > Duration::zero()) {
        const Duration spread = std::max<Duration>(lateRetryWindow, query.notBefore / restSpreadDivisor);
        std::uniform_int_distribution<Duration::rep> distribution(statedUnit.count(), spread.count());
        return query.notBefore + Duration(distribution(random));
    }
    const Duration maxAccepted = query.timeLeft / timeLeftDivisor;
    if (maxAccepted <= minRetryAfter)
        return std::nullopt;
    const Duration latestInTime = query.goalLeft - scaled(query.expected, expectedTimeFactor) - callerRoundTrip;
    const Duration maxRetryAfter = std::min(latestInTime > minRetryAfter ? latestInTime : lateRetryWindow, maxAccepted);
    std::uniform_int_distribution<Duration::rep> distribution(
        minRetryAfter.count(), std::max(maxRetryAfter, minRetryAfter).count());
    return Duration(distribution(random));
}

} // namespace dogwoodhall
