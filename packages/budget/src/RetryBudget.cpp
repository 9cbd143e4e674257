#include "dogwoodhall/budget/RetryBudget.h"

#include <algorithm>

namespace dogwoodhall {

RetryBudget::RetryBudget(Fraction share, unsigned reserve)
    : m_share(share)
    , m_reserve(reserve)
    , m_available(reserve)
{
}

void RetryBudget::recordSuccess() { m_available = std::min(m_reserve, m_available + m_share.value()); }

bool RetryBudget::tryTake()
{
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace dogwoodhall
