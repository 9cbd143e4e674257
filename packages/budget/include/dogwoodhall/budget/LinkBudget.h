#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// Limits the bytes that one process sends and requests across the links between regions. A token bucket with explicit
// time: it fills at the given rate and holds at most `burst` worth of it.
class LinkBudget {
public:
    LinkBudget(ByteCount perSecond, Duration burst, TimePoint start);

    // Takes the bytes, or nothing where fewer are left. A request larger than the whole bucket is let through when the
    // bucket is full, and the bucket owes the rest; otherwise it would never pass.
    bool tryTake(ByteCount, TimePoint now);
    // Charges bytes that were sent already, such as an answer longer than estimated. The bucket may owe bytes.
    void charge(ByteCount, TimePoint now);
    // Changes the rate; what is available now is kept, up to the new size of the bucket.
    void setRate(ByteCount perSecond, TimePoint now);

    // Negative while the bucket owes bytes.
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
