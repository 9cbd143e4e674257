#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace dogwoodhall {

// What a response that is not the upstream's own tells the caller about its request.
enum class Outcome : std::uint8_t {
    NotRun, // Proven: no upstream has run or will run the request.
    Unknown, // An upstream may have run the request.
};

// The reasons for which the daemon responds in place of the upstream. The list is closed.
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
    CallerLimit,
    Last = CallerLimit,
};

inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Last) + 1;

// The daemon's response for one error kind.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name; // Value of the Dogwoodhall-Error header.
    std::uint16_t status; // HTTP status code.
    // The outcome if the kind alone proves it; otherwise it depends on the attempts made for the request.
    std::optional<Outcome> outcome;
    std::string_view text; // One sentence for the response body.
};

// Returns the response for a kind. Every kind has one.
const ErrorAnswer& answerFor(ErrorKind);

// Returns true if the caller caused the error: a malformed request, a request body that is incomplete, too slow or too
// long, or a cancelled request.
bool isCallerError(ErrorKind);

// Returns the kind with this name, as carried between daemons.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

// Returns "not-run" or "unknown", the value of the Dogwoodhall-Outcome header.
std::string_view toString(Outcome);
std::optional<Outcome> outcomeFromName(std::string_view name);

} // namespace dogwoodhall
