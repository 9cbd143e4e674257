#include "dogwoodhall/request/RequestLifecycle.h"

namespace dogwoodhall {

RequestLifecycle::RequestLifecycle(bool isIdempotent, unsigned maxAttempts)
    : m_isIdempotent(isIdempotent)
    , m_maxAttempts(maxAttempts)
{
}

void RequestLifecycle::attemptStarted() { ++m_attempts; }

bool RequestLifecycle::mayRepeatAfter(const AttemptFailure& failure) const
{
    const bool isNotRun = m_provenNotRun + (failure.provenNotRun ? 1 : 0) == m_attempts;
    return (m_isIdempotent || isNotRun) && failure.bodyCanBeReplayed && m_attempts < m_maxAttempts;
}

AfterFailure RequestLifecycle::attemptFailed(const AttemptFailure& failure, RetryBudget& budget)
{
    const bool mayRepeat = mayRepeatAfter(failure);
    if (failure.provenNotRun)
        ++m_provenNotRun;
    if (mayRepeat && (!failure.reachedUpstream || budget.tryTake()))
        return RetryRequest {};
    return endWithoutAttempt(failure.kind);
}

void RequestLifecycle::succeeded(RetryBudget& budget) const { budget.recordSuccess(); }

AnswerWithError RequestLifecycle::endWithoutAttempt(ErrorKind kind) const { return { kind, outcome() }; }

Outcome RequestLifecycle::outcome() const { return m_provenNotRun == m_attempts ? Outcome::NotRun : Outcome::Unknown; }

void RequestLifecycle::attemptRefusedBeforeUpstream() { --m_attempts; }

} // namespace dogwoodhall
