#include "dogwoodhall/daemon/Clock.h"

namespace dogwoodhall {

TimePoint monotonicNow() { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

std::chrono::steady_clock::time_point toSteadyClock(TimePoint t)
{
    return std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(t.sinceOrigin()));
}

} // namespace dogwoodhall
