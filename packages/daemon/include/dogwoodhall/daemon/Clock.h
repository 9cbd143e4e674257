#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>

namespace dogwoodhall {

// The monotonic clock as decisions see it.
TimePoint monotonicNow();
std::chrono::steady_clock::time_point toSteadyClock(TimePoint);

} // namespace dogwoodhall
