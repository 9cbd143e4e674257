#include "dogwoodhall/budget/RetryAllowance.h"

#include <algorithm>

namespace dogwoodhall {

RetryAllowance::RetryAllowance(RetryLimits limits)
    : m_limits(limits)
{
}

std::int64_t RetryAllowance::numberAt(TimePoint now) const
{
    const auto length = std::max<Duration>(m_limits.window / slices, Duration(1));
    return now.sinceOrigin() / length;
}

RetryAllowance::Slice& RetryAllowance::sliceAt(TimePoint now)
{
    const auto number = numberAt(now);
    auto& slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
    if (slice.number != number)
        slice = Slice { number };
    return slice;
}

void RetryAllowance::requestArrived(TimePoint now) { ++sliceAt(now).requests; }

bool RetryAllowance::tryTake(TimePoint now)
{
    if (available(now) < 1) {
        m_deniedAt = now;
        return false;
    }
    ++sliceAt(now).taken;
    return true;
}

bool RetryAllowance::hasRoomForHedge(TimePoint now)
{
    if (m_deniedAt && now - *m_deniedAt < hedgePauseAfterDenial)
        return false;
    const auto it = balance(now);
    return it.allowed - it.taken >= std::max(1.0, retryReserve * it.allowed);
}

bool RetryAllowance::tryTakeForHedge(TimePoint now)
{
    if (!hasRoomForHedge(now))
        return false;
    ++sliceAt(now).taken;
    return true;
}

double RetryAllowance::available(TimePoint now)
{
    const auto it = balance(now);
    return it.allowed - it.taken;
}

double RetryAllowance::slackAt(TimePoint now) const
{
    const bool isUsable = m_share.stableSince && now - *m_share.stableSince >= m_limits.window;
    return isUsable ? m_limits.slack * usableSlack / static_cast<double>(std::max<std::size_t>(m_share.holders, 1)) : 0;
}

RetryAllowance::Balance RetryAllowance::balance(TimePoint now) const
{
    const auto newest = numberAt(now);
    double requests = 0;
    double taken = 0;
    for (const auto& slice : m_slices) {
        const auto age = newest - slice.number;
        if (slice.number < 0 || age >= static_cast<std::int64_t>(m_slices.size()))
            continue;
        taken += slice.taken;
        if (age < static_cast<std::int64_t>(slices))
            requests += slice.requests;
    }
    const double slack = slackAt(now);
    return { requests * m_limits.ratio.value() * usableRatio + slack, taken, slack };
}

} // namespace dogwoodhall
