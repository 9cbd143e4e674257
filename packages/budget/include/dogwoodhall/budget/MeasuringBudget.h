#pragma once

#include "dogwoodhall/budget/TokenBucket.h"
#include "dogwoodhall/core/Units.h"

#include <array>
#include <cstdint>

namespace dogwoodhall {

// What a probe or control message is for, from the one that is throttled last to the one that is throttled first.
enum class MeasuringCategory : std::uint8_t {
    Membership,
    Configuration,
    Health,
    LoadMeasurement,
};

inline constexpr std::size_t measuringCategoryCount = 4;

struct MeasuringLimits {
    CallCount callsPerSecond;
    ByteCount bytesPerSecond;
};

struct MeasuringCounters {
    CallCount spentCalls;
    ByteCount spentBytes;
    CallCount refusedCalls;
    ByteCount refusedBytes;
};

// Bounds what probes, load reports and control messages cost this process. Each is charged by its sender before it is
// sent, and not sent where the charge is refused.
//
// In any window of a second the limits hold: a quarter of each is the bucket's capacity and three quarters its rate, so
// that three quarters are available in the long run. Each category leaves a share of the capacity to those above it:
// under pressure load measurement is refused first, and all of the refill goes to the others. A message larger than the
// part of the capacity that is open to its category is always refused; larger transfers (a record of up to 1 MB) are
// charged to a TokenBucket of their own with a longer window.
class MeasuringBudget {
public:
    explicit MeasuringBudget(MeasuringLimits);

    // Charges one call. False where it must not be made.
    bool trySpend(MeasuringCategory, ByteCount, TimePoint now);
    // Whether trySpend() would charge it, for a part of a message that can be left out.
    bool hasRoom(MeasuringCategory, ByteCount, TimePoint now);

    const MeasuringCounters& counters(MeasuringCategory) const;
    // Largest message that a category can ever send.
    ByteCount largestMessage(MeasuringCategory) const;

private:
    MeasuringLimits m_capacity;
    TokenBucket<CallCount> m_calls;
    TokenBucket<ByteCount> m_bytes;
    std::array<MeasuringCounters, measuringCategoryCount> m_counters {};
};

} // namespace dogwoodhall
