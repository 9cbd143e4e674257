#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dogwoodhall {

// What a caller may conclude about its request from an answer that is not the upstream's own.
enum class Outcome : std::uint8_t {
    NotRun, // Proved: no upstream ran the request, and none will.
    Unknown, // An upstream may have run the request.
};

// The closed list of reasons for which the daemon answers in the upstream's place.
enum class ErrorKind : std::uint8_t {
    BadRequest,
    RequestTimeout,
    BodyTooLarge,
    HeadersTooLarge,
    NoRoute,
    QueueFull,
    DeadlineUnreachable,
    DeadlineExceeded,
    NoEndpoint,
    UpstreamRefused,
    UpstreamFailed,
    UpstreamTruncated,
    PeerFailed,
    TicketUnknown,
    TicketInProgress,
    TicketStoreFull,
    TicketMisused,
    Draining,
    NotReady,
    Cancelled,
    Internal,
    Last = Internal,
};

inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Last) + 1;

// How the daemon answers for one error kind.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name; // Value of the Dogwoodhall-Error header.
    std::uint16_t status; // HTTP status code.
    // The outcome where the kind alone proves it. A kind without one needs the request's own history.
    std::optional<Outcome> outcome;
    std::string_view text; // One sentence for the answer's body.
};

// The answer for a kind. Total: every kind has a row.
const ErrorAnswer& answerFor(ErrorKind);

// The caller broke off its request's body, or sent it too slowly or too long.
bool isCallersFault(ErrorKind);

// The kind whose name is `name`, as carried between daemons.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

// "not-run" or "unknown": the value of the Dogwoodhall-Outcome header.
std::string_view toString(Outcome);
std::optional<Outcome> outcomeFromName(std::string_view name);

} // namespace dogwoodhall
