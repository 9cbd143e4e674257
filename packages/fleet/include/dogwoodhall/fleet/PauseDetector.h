#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <optional>

namespace dogwoodhall {

// Detects that the process was paused, by the gap between two calls. The owner calls observe() at least once per gossip
// period and before it handles any queued event.
class PauseDetector {
public:
    // Four gossip periods: longer than timer delays on a busy machine, shorter than the time after which other members
    // stop using a silent home.
    static constexpr Duration defaultThreshold = std::chrono::seconds(2);

    explicit PauseDetector(Duration threshold = defaultThreshold)
        : m_threshold(threshold)
    {
    }

    // Returns the gap since the last call if it exceeds the threshold; earlier state has then expired.
    std::optional<Duration> observe(TimePoint now);

private:
    Duration m_threshold;
    std::optional<TimePoint> m_last;
};

} // namespace dogwoodhall
