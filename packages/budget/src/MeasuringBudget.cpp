#include "dogwoodhall/budget/MeasuringBudget.h"

#include <algorithm>
#include <type_traits>

namespace dogwoodhall {

namespace {

constexpr std::uint64_t capacityDivisor = 4;

// Eighths of the capacity that each category leaves to those with higher priority. A quarter carries a burst of three
// gossip messages. Load measurement can use half of the capacity: with less, some of it is refused although only a
// third of the budget is in use.
constexpr std::array<std::uint64_t, measuringCategoryCount> reservedEighths { 0, 2, 3, 4 };

// Part of the capacity that a category leaves to those with higher priority. Computed from the capacity less one token,
// so that a budget of few calls still serves every category. Calls are rounded up: with a capacity of five, rounding
// down would reserve one call for gossip, which sends two messages at a time.
template <typename Amount> Amount reserveOf(MeasuringCategory category, Amount capacity)
{
    const std::uint64_t rest = capacity.count() - std::min<std::uint64_t>(capacity.count(), 1);
    const std::uint64_t eighths = rest * reservedEighths[static_cast<std::size_t>(category)];
    return Amount((eighths + (std::is_same_v<Amount, CallCount> ? 7 : 0)) / 8);
}

MeasuringLimits capacityOf(MeasuringLimits limits)
{
    return { CallCount(limits.callsPerSecond.count() / capacityDivisor),
        ByteCount(limits.bytesPerSecond.count() / capacityDivisor) };
}

} // namespace

MeasuringBudget::MeasuringBudget(MeasuringLimits limits)
    : m_capacity(capacityOf(limits))
    , m_calls(limits.callsPerSecond - m_capacity.callsPerSecond, m_capacity.callsPerSecond)
    , m_bytes(limits.bytesPerSecond - m_capacity.bytesPerSecond, m_capacity.bytesPerSecond)
{
}

bool MeasuringBudget::trySpend(MeasuringCategory category, ByteCount bytes, TimePoint now)
{
    auto& counters = m_counters[static_cast<std::size_t>(category)];
    const CallCount one(1);
    const auto reservedCalls = reserveOf(category, m_capacity.callsPerSecond);
    const auto reservedBytes = reserveOf(category, m_capacity.bytesPerSecond);
    if (!m_calls.canTake(one, now, reservedCalls) || !m_bytes.tryTake(bytes, now, reservedBytes)) {
        counters.refusedCalls += one;
        counters.refusedBytes += bytes;
        return false;
    }
    m_calls.tryTake(one, now, reservedCalls);
    counters.spentCalls += one;
    counters.spentBytes += bytes;
    return true;
}

bool MeasuringBudget::hasRoom(MeasuringCategory category, ByteCount bytes, TimePoint now)
{
    return m_calls.canTake(CallCount(1), now, reserveOf(category, m_capacity.callsPerSecond))
        && m_bytes.canTake(bytes, now, reserveOf(category, m_capacity.bytesPerSecond));
}

const MeasuringCounters& MeasuringBudget::counters(MeasuringCategory category) const
{
    return m_counters[static_cast<std::size_t>(category)];
}

ByteCount MeasuringBudget::largestMessage(MeasuringCategory category) const
{
    return m_capacity.bytesPerSecond - reserveOf(category, m_capacity.bytesPerSecond);
}

} // namespace dogwoodhall
