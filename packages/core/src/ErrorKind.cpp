#include "dogwoodhall/core/ErrorKind.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

constexpr std::optional<Outcome> dependsOnAttempts = std::nullopt;

constexpr std::array<ErrorAnswer, errorKindCount> answers { {
    { ErrorKind::BadRequest, "bad-request", 400, Outcome::NotRun, "The request is malformed." },
    { ErrorKind::RequestTimeout, "request-timeout", 408, dependsOnAttempts, "The request arrived too slowly." },
    { ErrorKind::BodyTooLarge, "body-too-large", 413, dependsOnAttempts, "The request body exceeds the limit." },
    { ErrorKind::HeadersTooLarge, "headers-too-large", 431, Outcome::NotRun, "The request headers exceed the limit." },
    { ErrorKind::NoRoute, "no-route", 404, Outcome::NotRun, "No service matches the request." },
    { ErrorKind::QueueFull, "queue-full", 503, Outcome::NotRun, "The service's queue is full." },
    { ErrorKind::DeadlineUnreachable, "deadline-unreachable", 503, Outcome::NotRun,
        "The request cannot be served before its deadline." },
    { ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, dependsOnAttempts, "The deadline passed." },
    { ErrorKind::NoEndpoint, "no-endpoint", 503, Outcome::NotRun, "The service has no usable endpoint." },
    { ErrorKind::UpstreamRefused, "upstream-refused", 503, Outcome::NotRun,
        "Every endpoint tried refused the request." },
    { ErrorKind::UpstreamFailed, "upstream-failed", 502, dependsOnAttempts, "The connection to the upstream failed." },
    { ErrorKind::UpstreamTruncated, "upstream-truncated", 502, Outcome::Unknown,
        "The upstream's answer was cut short." },
    { ErrorKind::PeerFailed, "peer-failed", 502, dependsOnAttempts, "The connection to another entry host failed." },
    { ErrorKind::TicketUnknown, "ticket-unknown", 409, Outcome::Unknown, "The ticket's issuer does not know it." },
    { ErrorKind::TicketInProgress, "ticket-in-progress", 409, Outcome::Unknown,
        "A request with this ticket is still running." },
    { ErrorKind::TicketStoreFull, "ticket-store-full", 503, Outcome::NotRun, "No new tickets can be issued now." },
    { ErrorKind::TicketMisused, "ticket-misused", 422, Outcome::NotRun,
        "The ticket was used before with a different request." },
    { ErrorKind::Draining, "draining", 503, Outcome::NotRun, "This entry host is shutting down." },
    { ErrorKind::NotReady, "not-ready", 503, Outcome::NotRun, "This entry host has no configuration yet." },
    { ErrorKind::Cancelled, "cancelled", 499, dependsOnAttempts, "The caller went away." },
    { ErrorKind::Internal, "internal", 500, dependsOnAttempts, "The entry host failed." },
    { ErrorKind::CallerLimit, "caller-limit", 503, Outcome::NotRun,
        "The entry host has no room left for this caller's connection." },
} };

constexpr bool isInEnumOrder()
{
    for (std::size_t n = 0; n < answers.size(); ++n) {
        if (static_cast<std::size_t>(answers[n].kind) != n)
            return false;
    }
    return true;
}
static_assert(isInEnumOrder(), "answerFor() indexes the table by kind");

} // namespace

const ErrorAnswer& answerFor(ErrorKind kind) { return answers[static_cast<std::size_t>(kind)]; }

bool isCallerError(ErrorKind kind)
{
    return kind == ErrorKind::BadRequest || kind == ErrorKind::RequestTimeout || kind == ErrorKind::BodyTooLarge
        || kind == ErrorKind::Cancelled || kind == ErrorKind::CallerLimit;
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    auto it = std::find_if(answers.begin(), answers.end(), [&](const ErrorAnswer& row) { return row.name == name; });
    if (it == answers.end())
        return std::nullopt;
    return it->kind;
}

std::string_view toString(Outcome outcome) { return outcome == Outcome::NotRun ? "not-run" : "unknown"; }

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    if (name == "not-run")
        return Outcome::NotRun;
    if (name == "unknown")
        return Outcome::Unknown;
    return std::nullopt;
}

} // namespace dogwoodhall
