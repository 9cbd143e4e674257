#pragma once

#include "dogwoodhall/core/Units.h"

#include <algorithm>
#include <cassert>
#include <cstdint>

namespace dogwoodhall {

// Refills at a constant rate up to a capacity. In any window of w seconds at most capacity + rate * w can be taken:
// integer arithmetic in nanotokens ensures that rounding never adds to that.
template <typename Amount> class TokenBucket {
public:
    // Starts full. The capacity is at most 10^9.
    TokenBucket(Amount perSecond, Amount capacity)
        : m_perSecond(perSecond.count())
        , m_capacity(capacity.count() * unit)
        , m_level(m_capacity)
    {
        assert(capacity.count() <= unit);
    }

    // Keeps the tokens accumulated so far, up to the new capacity.
    void setRate(Amount perSecond, Amount capacity, TimePoint now)
    {
        assert(capacity.count() <= unit);
        refill(now);
        m_perSecond = perSecond.count();
        m_capacity = capacity.count() * unit;
        m_level = std::min(m_level, m_capacity);
    }

    // Takes `amount` if at least `reserve` remains afterwards; otherwise takes nothing.
    bool tryTake(Amount amount, TimePoint now, Amount reserve = {})
    {
        if (!canTake(amount, now, reserve))
            return false;
        m_level -= amount.count() * unit;
        return true;
    }

    bool canTake(Amount amount, TimePoint now, Amount reserve = {})
    {
        refill(now);
        const std::uint64_t available = m_level / unit;
        return reserve <= Amount(available) && amount <= Amount(available) - reserve;
    }

    // Whole tokens available at `now`.
    Amount available(TimePoint now)
    {
        refill(now);
        return Amount(m_level / unit);
    }

    // Share of the capacity that is available at `now`.
    double filled(TimePoint now)
    {
        refill(now);
        return m_capacity > 0 ? static_cast<double>(m_level) / static_cast<double>(m_capacity) : 0;
    }

private:
    static constexpr std::uint64_t unit = 1'000'000'000; // Nanotokens; also nanoseconds in a second.

    // A time before the last refill adds nothing.
    void refill(TimePoint now)
    {
        if (now <= m_refilledAt)
            return;
        const auto elapsed = static_cast<std::uint64_t>((now - m_refilledAt).count());
        m_refilledAt = now;
        const std::uint64_t missing = m_capacity - m_level;
        // Prevents overflow of the product after a long time.
        if (m_perSecond > 0 && elapsed >= missing / m_perSecond + 1)
            m_level = m_capacity;
        else
            m_level = std::min(m_capacity, m_level + elapsed * m_perSecond);
    }

    std::uint64_t m_perSecond;
    std::uint64_t m_capacity; // In nanotokens, like the level.
    std::uint64_t m_level;
    TimePoint m_refilledAt;
};

} // namespace dogwoodhall
