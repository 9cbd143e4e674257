#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>

namespace dogwoodhall {

// The monotonic clock used for decisions. Other than the steady clock it counts the time in which the machine was
// suspended: what was known of other processes before is older by that time. Its times do not compare with those that
// packages without a clock of their own take from the steady clock.
TimePoint monotonicNow();

// The time on the steady clock, which timers use, if the machine is not suspended until then.
std::chrono::steady_clock::time_point toSteadyClock(TimePoint);

} // namespace dogwoodhall
