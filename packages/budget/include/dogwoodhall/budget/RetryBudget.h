#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// Limits retries and hedges to a share of successes, so that they cannot multiply load when an upstream fails.
class RetryBudget {
public:
    // `reserve` retries may be made before any success; at most `reserve` unused ones are kept.
    RetryBudget(Fraction share, unsigned reserve);

    // Holds for the successes from now on; what is left of the budget stays.
    void setShare(Fraction share) { m_share = share; }

    void recordSuccess();
    // Takes one retry from the budget; false where none is left.
    bool tryTake();

    double available() const { return m_available; }

private:
    Fraction m_share;
    double m_reserve;
    double m_available;
};

} // namespace dogwoodhall
