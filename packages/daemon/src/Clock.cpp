#include "dogwoodhall/daemon/Clock.h"

#include <ctime>

namespace dogwoodhall {

TimePoint monotonicNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::chrono::steady_clock::time_point toSteadyClock(TimePoint t)
{
    using Steady = std::chrono::steady_clock;
    // Read before the steady clock, so that a timer never ends early.
    const Duration left = t - monotonicNow();
    return Steady::now() + std::chrono::duration_cast<Steady::duration>(left);
}

} // namespace dogwoodhall
