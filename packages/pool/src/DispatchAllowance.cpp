#include "dogwoodhall/pool/DispatchAllowance.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

// Weight of the newest response in the mean service time, which covers about the last 32.
constexpr double newestWeight = 1.0 / 32;

} // namespace

void DispatchAllowance::observeRoundTrip(Duration roundTrip)
{
    m_roundTrips[m_nextRoundTrip] = roundTrip;
    m_nextRoundTrip = (m_nextRoundTrip + 1) % m_roundTrips.size();
}

void DispatchAllowance::observeAnswer(Duration held, SlotCount slots, SlotCount outstanding)
{
    // Beyond its slots the endpoint queues, which lengthens the held time in proportion.
    const double queueing
        = std::max(1.0, static_cast<double>(outstanding.count()) / static_cast<double>(slots.count()));
    const Duration service = std::max<Duration>(scaled(held - roundTrip(), 1 / queueing), std::chrono::microseconds(1));
    const double share = m_meanServiceTime.count() == 0 ? 1 : newestWeight;
    m_meanServiceTime += scaled(service - m_meanServiceTime, share);
}

SlotCount DispatchAllowance::forEndpoint(SlotCount slots, const AllowanceLimits& limits) const
{
    if (m_meanServiceTime.count() == 0)
        return limits.minRequests;
    const double mean = static_cast<double>(slots.count()) * toSeconds(roundTrip()) / toSeconds(m_meanServiceTime);
    const double maxIdle = limits.maxIdleShare.value() * static_cast<double>(slots.count());
    // `idle` is the expected number of completions in a round trip beyond the allowance.
    double idle = mean;
    double probability = std::exp(-mean); // Of exactly `allowance` completions.
    double atMost = probability;
    SlotCount allowance;
    while (allowance < limits.maxRequests && (allowance < limits.minRequests || idle > maxIdle)) {
        allowance += SlotCount(1);
        idle -= 1 - atMost;
        probability *= mean / static_cast<double>(allowance.count());
        atMost += probability;
    }
    return allowance;
}

Duration DispatchAllowance::roundTrip() const
{
    Duration least {};
    for (const auto& it : m_roundTrips) {
        if (it.count() > 0 && (least.count() == 0 || it < least))
            least = it;
    }
    return least;
}

} // namespace dogwoodhall
