#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>

namespace dogwoodhall {

// The monotonic clock used for decisions.
TimePoint monotonicNow();
std::chrono::steady_clock::time_point toSteadyClock(TimePoint);

} // namespace dogwoodhall
