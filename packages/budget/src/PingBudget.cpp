#include "dogwoodhall/budget/PingBudget.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

constexpr std::uint64_t shareDivisor = 5;
// The least value for which a bucket with a capacity of one token has a refill rate above zero.
constexpr std::uint64_t minPings = 2;

CallCount burstOf(CallCount perSecond) { return CallCount((perSecond.count() + 1) / 2); }

} // namespace

MeasuringShares splitMeasuringLimits(MeasuringLimits limits, std::uint32_t trafficThreads)
{
    const std::uint64_t divisor = shareDivisor * trafficThreads;
    const std::uint64_t byBytes = limits.bytesPerSecond.count() / PingBudget::pingBytes.count() / divisor;
    const std::uint64_t affordable = std::min(limits.callsPerSecond.count() / divisor, byBytes);
    const std::uint64_t pings = affordable < minPings ? 0 : affordable;
    const std::uint64_t all = pings * trafficThreads;
    return { { limits.callsPerSecond - CallCount(all),
                 limits.bytesPerSecond - ByteCount(all * PingBudget::pingBytes.count()) },
        CallCount(pings) };
}

PingBudget::PingBudget(CallCount perSecond)
    : m_pings(perSecond - burstOf(perSecond), burstOf(perSecond))
{
}

bool PingBudget::trySpend(TimePoint now) { return m_pings.tryTake(CallCount(1), now); }

} // namespace dogwoodhall
