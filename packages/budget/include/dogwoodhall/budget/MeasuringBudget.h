#pragma once

#include "dogwoodhall/budget/TokenBucket.h"
#include "dogwoodhall/core/Units.h"

#include <array>
#include <cstdint>

namespace dogwoodhall {

// Purpose of a probe or control message, in descending order of priority: the last category is throttled first.
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

// Limits the calls and bytes that this process spends on probes, load reports and control messages. The sender charges
// each message before sending it and does not send it if the charge is refused.
//
// The limits hold in any window of one second: a quarter of each limit is the bucket's capacity and three quarters are
// its rate, so that three quarters are available in the long run. Each category leaves a share of the capacity to those
// with higher priority: under pressure load measurement is refused first, and the whole refill goes to the others. A
// message larger than the part of the capacity open to its category is always refused; larger transfers (a record of up
// to 1 MB) are charged to a separate TokenBucket with a longer window.
class MeasuringBudget {
public:
    explicit MeasuringBudget(MeasuringLimits);

    // Charges one call. Returns false if it must not be made.
    bool trySpend(MeasuringCategory, ByteCount, TimePoint now);
    // Whether trySpend() would succeed, for an optional part of a message.
    bool hasRoom(MeasuringCategory, ByteCount, TimePoint now);

    const MeasuringCounters& counters(MeasuringCategory) const;
    // Size of the largest message that a category can ever send.
    ByteCount largestMessage(MeasuringCategory) const;

private:
    MeasuringLimits m_capacity;
    TokenBucket<CallCount> m_calls;
    TokenBucket<ByteCount> m_bytes;
    std::array<MeasuringCounters, measuringCategoryCount> m_counters {};
};

} // namespace dogwoodhall
