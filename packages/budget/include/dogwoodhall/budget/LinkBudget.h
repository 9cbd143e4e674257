#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// Limits the bytes that one process sends and requests over the links between regions. A token bucket with explicit
// time that fills at the given rate and holds at most `burst` worth of it.
class LinkBudget {
public:
    LinkBudget(ByteCount perSecond, Duration burst, TimePoint start);

    // Takes the bytes, or nothing if fewer are available. A request larger than the whole bucket passes when the bucket
    // is full and leaves it with a debt; otherwise it would never pass.
    bool tryTake(ByteCount, TimePoint now);
    // Charges bytes that have already been sent, such as an answer longer than estimated. May leave the bucket with a
    // debt.
    void charge(ByteCount, TimePoint now);
    // Changes the rate. The available bytes are kept, up to the new capacity.
    void setRate(ByteCount perSecond, TimePoint now);

    // Negative while the bucket has a debt.
    double available(TimePoint now) const;

private:
    void refill(TimePoint now);
    double capacity() const { return m_perSecond * toSeconds(m_burst); }

    double m_perSecond;
    Duration m_burst;
    double m_available;
    TimePoint m_refilledAt;
};

} // namespace dogwoodhall
