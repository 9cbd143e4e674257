#pragma once

#include "dogwoodhall/budget/RetryBudget.h"
#include "dogwoodhall/core/ErrorKind.h"

#include <optional>
#include <variant>

namespace dogwoodhall {

// How an attempt ended that did not give the upstream's own answer.
struct AttemptFailure {
    ErrorKind kind = ErrorKind::Internal;
    // Nothing was handed to a connection, the upstream refused explicitly, or the peer's stream was refused.
    bool provenNotRun = false;
    bool bodyCanBeReplayed = true; // The request body is still at hand from its first byte.
    // The attempt cost an upstream work, be it only a refusal. Another attempt after it is paid from the retry budget.
    bool reachedUpstream = true;
};

// Try again at another endpoint.
struct RetryRequest { };

// Answer the caller with this kind and outcome.
struct AnswerWithError {
    ErrorKind kind;
    Outcome outcome;
};

using AfterFailure = std::variant<RetryRequest, AnswerWithError>;

// The attempts of one request, and what may be said of it. A request that is not idempotent is dispatched again only
// when every earlier attempt is proven not to have run.
class RequestLifecycle {
public:
    RequestLifecycle(bool isIdempotent, unsigned maxAttempts);

    void attemptStarted();
    // Whether another attempt may follow where the one under way ends like this, its cost apart.
    bool mayRepeatAfter(const AttemptFailure&) const;
    AfterFailure attemptFailed(const AttemptFailure&, RetryBudget&);
    // The attempt was turned away before it reached an upstream, with proof; it does not count against maxAttempts.
    void attemptTurnedAway();
    // The request ends without another attempt: refused by its pool, cancelled, or past its deadline.
    AnswerWithError endWithoutAttempt(ErrorKind) const;

    unsigned attempts() const { return m_attempts; }
    // NotRun while every attempt so far is proven not to have run.
    Outcome outcome() const;

private:
    bool m_isIdempotent;
    unsigned m_maxAttempts;
    unsigned m_attempts = 0;
    unsigned m_provenNotRun = 0;
};

} // namespace dogwoodhall
