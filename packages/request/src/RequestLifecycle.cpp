#include "dogwoodhall/request/RequestLifecycle.h"

namespace dogwoodhall {

RequestLifecycle::RequestLifecycle(bool isIdempotent, unsigned maxAttempts)
    : m_isIdempotent(isIdempotent)
    , m_maxAttempts(maxAttempts)
{
}

void RequestLifecycle::attemptStarted() { ++m_attempts; }

AfterFailure RequestLifecycle::attemptFailed(const AttemptFailure& failure, RetryBudget& budget)
{
    if (failure.provenNotRun)
        ++m_provenNotRun;
    const bool safeToRepeat = m_isIdempotent || outcome() == Outcome::NotRun;
    const bool mayRepeat = safeToRepeat && failure.bodyCanBeReplayed && m_attempts < m_maxAttempts;
    if (mayRepeat && (!failure.reachedUpstream || budget.tryTake()))
        return RetryRequest {};
    return endWithoutAttempt(failure.kind);
}

AnswerWithError RequestLifecycle::endWithoutAttempt(ErrorKind kind) const { return { kind, outcome() }; }

Outcome RequestLifecycle::outcome() const { return m_provenNotRun == m_attempts ? Outcome::NotRun : Outcome::Unknown; }

void RequestLifecycle::attemptTurnedAway() { --m_attempts; }

} // namespace dogwoodhall
