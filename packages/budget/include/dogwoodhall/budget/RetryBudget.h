#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// Limits retries and hedges to a share of successes, so that they do not multiply load when an upstream fails.
class RetryBudget {
public:
    // Allows `reserve` retries before any success, and keeps at most `reserve` unused ones.
    RetryBudget(Fraction share, unsigned reserve);

    // Applies to successes from now on; the remaining budget is kept.
    void setShare(Fraction share) { m_share = share; }

    void recordSuccess();
    // Takes one retry from the budget; returns false if none is left.
    bool tryTake();

    double available() const { return m_available; }

private:
    Fraction m_share;
    double m_reserve;
    double m_available;
};

} // namespace dogwoodhall
