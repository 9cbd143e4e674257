#pragma once

#include "dogwoodhall/budget/RetryBudget.h"
#include "dogwoodhall/core/ErrorKind.h"

#include <optional>
#include <variant>

namespace dogwoodhall {

// How an attempt ended that did not yield the upstream's own response.
struct AttemptFailure {
    ErrorKind kind = ErrorKind::Internal;
    // Nothing was written to a connection, the upstream refused explicitly, or the peer's stream was refused.
    bool provenNotRun = false;
    bool bodyCanBeReplayed = true; // The request body is still buffered from its first byte.
    // The attempt reached an upstream, even if it was only refused. Another attempt after it is charged to the retry
    // budget.
    bool reachedUpstream = true;
};

// Retry at another endpoint.
struct RetryRequest { };

// Respond to the caller with this error kind and outcome.
struct AnswerWithError {
    ErrorKind kind;
    Outcome outcome;
};

using AfterFailure = std::variant<RetryRequest, AnswerWithError>;

// Tracks the attempts of one request and what is proven about it. A request that is not idempotent is dispatched again
// only if every earlier attempt is proven not to have run.
class RequestLifecycle {
public:
    RequestLifecycle(bool isIdempotent, unsigned maxAttempts);

    void attemptStarted();
    // Returns whether another attempt is allowed if the current one fails like this, without regard to the retry
    // budget.
    bool mayRepeatAfter(const AttemptFailure&) const;
    AfterFailure attemptFailed(const AttemptFailure&, RetryBudget&);
    // The caller got a response. Refills the retry budget, whatever the kind of request and after any number of
    // attempts: the budget bounds retries relative to the work that a service completes.
    void succeeded(RetryBudget&) const;
    // The attempt was refused with proof before it reached an upstream; it does not count against maxAttempts.
    void attemptRefusedBeforeUpstream();
    // Ends the request without another attempt: it was refused by its pool, cancelled, or is past its deadline.
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
