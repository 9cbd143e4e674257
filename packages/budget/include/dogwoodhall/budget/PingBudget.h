#pragma once

#include "dogwoodhall/budget/MeasuringBudget.h"

#include <cstdint>

namespace dogwoodhall {

// The measuring limits of a process, divided once so that its threads need not ask one another: what the control thread
// and all traffic threads spend never exceeds them.
struct MeasuringShares {
    MeasuringLimits control;
    CallCount pingsPerSecond; // For each traffic thread.
};

// A fifth of the calls goes to PINGs, less where the bytes do not last, and none where that is less than two a second
// for each thread. A fifth leaves the control thread a capacity that still carries a burst of gossip at 20 calls a
// second.
MeasuringShares shareMeasuring(MeasuringLimits, std::uint32_t trafficThreads);

// What one traffic thread spends on PINGs to peers. In any window of a second the limit holds. Half of it can be spent
// at once, since all streams to a host go quiet together.
class PingBudget {
public:
    // A PING frame and its answer, which the peer sends on this process's account.
    static constexpr ByteCount pingBytes { 2 * 17 };

    explicit PingBudget(CallCount perSecond);

    bool trySpend(TimePoint now);

private:
    TokenBucket<CallCount> m_pings;
};

} // namespace dogwoodhall
