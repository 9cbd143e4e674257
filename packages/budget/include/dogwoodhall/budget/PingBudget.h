#pragma once

#include "dogwoodhall/budget/MeasuringBudget.h"

#include <cstdint>

namespace dogwoodhall {

// The measuring limits of a process, divided statically between its threads, so that they need no synchronisation: the
// control thread and all traffic threads together never exceed the limits.
struct MeasuringShares {
    MeasuringLimits control;
    CallCount pingsPerSecond; // Per traffic thread.
};

// Assigns a fifth of the calls to PINGs: fewer if the byte limit is lower, and none if that is less than two per second
// and thread. The rest gives the control thread a capacity that still carries a burst of gossip at 20 calls per second.
MeasuringShares splitMeasuringLimits(MeasuringLimits, std::uint32_t trafficThreads);

// Limits the PINGs that one traffic thread sends to peers. The limit holds in any window of one second. Half of it can
// be spent at once, because all streams to a host fall silent together.
class PingBudget {
public:
    // A PING frame and its answer, which is charged to this process.
    static constexpr ByteCount pingBytes { 2 * 17 };

    explicit PingBudget(CallCount perSecond);

    bool trySpend(TimePoint now);

private:
    TokenBucket<CallCount> m_pings;
};

} // namespace dogwoodhall
