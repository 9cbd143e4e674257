#include "dogwoodhall/budget/LinkBudget.h"

#include <algorithm>

namespace dogwoodhall {

LinkBudget::LinkBudget(ByteCount perSecond, Duration burst, TimePoint start)
    : m_perSecond(static_cast<double>(perSecond.count()))
    , m_burst(burst)
    , m_available(capacity())
    , m_refilledAt(start)
{
}

bool LinkBudget::tryTake(ByteCount bytes, TimePoint now)
{
    refill(now);
    const double wanted = static_cast<double>(bytes.count());
    if (m_available < std::min(wanted, capacity()))
        return false;
    m_available -= wanted;
    return true;
}

void LinkBudget::charge(ByteCount bytes, TimePoint now)
{
    refill(now);
    m_available -= static_cast<double>(bytes.count());
}

void LinkBudget::setRate(ByteCount perSecond, TimePoint now)
{
    refill(now);
    m_perSecond = static_cast<double>(perSecond.count());
    m_available = std::min(m_available, capacity());
}

double LinkBudget::available(TimePoint now) const
{
    // A time before the last refill adds nothing.
    const double elapsed = std::max(0.0, toSeconds(now - m_refilledAt));
    return std::min(capacity(), m_available + elapsed * m_perSecond);
}

void LinkBudget::refill(TimePoint now)
{
    m_available = available(now);
    m_refilledAt = std::max(m_refilledAt, now);
}

} // namespace dogwoodhall
