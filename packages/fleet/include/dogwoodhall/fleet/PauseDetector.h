#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <optional>

namespace dogwoodhall {

// Recognises that the process was stopped for a while, by the gap between two calls. The owner calls observe() at least
// once in each gossip period and before it handles any event that waited.
class PauseDetector {
public:
    // Four gossip periods: longer than a busy machine delays a timer, shorter than the time after which other members
    // stop using a silent home.
    static constexpr Duration defaultThreshold = std::chrono::seconds(2);

    explicit PauseDetector(Duration threshold = defaultThreshold)
        : m_threshold(threshold)
    {
    }

    // The gap since the last call where it exceeds the threshold: what was known before has expired.
    std::optional<Duration> observe(TimePoint now);

private:
    Duration m_threshold;
    std::optional<TimePoint> m_last;
};

} // namespace dogwoodhall
