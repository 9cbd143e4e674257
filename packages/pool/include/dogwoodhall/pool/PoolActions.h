#pragma once

#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/core/WorkClass.h"

#include <optional>
#include <variant>
#include <vector>

namespace dogwoodhall {

// A request that needs one slot of the pool.
struct PoolRequest {
    RequestId id;
    WorkClass workClass = WorkClass::Short;
    Priority priority = Priority::Normal;
    TimePoint deadline = TimePoint::max(); // Latest start of the response.
    std::vector<EndpointId> excluded; // Endpoints that refused or failed this request.
    bool isIdempotent = false; // May run twice, so it can serve as a probe of an ejected endpoint.
};

// How a dispatched request ended at its endpoint.
enum class CompletionResult {
    Answered,
    Refused, // The endpoint stated that it did not run the request.
    ConnectFailed, // No byte was written to a connection.
    Failed, // The connection broke, or the response was malformed or truncated.
    Cancelled, // The caller disconnected or the deadline passed before the response started.
    // The caller disconnected or was too slow while sending the request body or reading the response; not the
    // endpoint's fault.
    CallerFailed,
    LostToHedge, // A later hedge to another endpoint was answered first.
};

struct Completion {
    CompletionResult result = CompletionResult::Answered;
    Duration serviceTime {}; // From dispatch to the end of the response.
    std::optional<SlotCount> reportedInUse; // From the load header of the response.
    bool isDraining = false; // The response stated that the endpoint is leaving.
};

// Send the request to the endpoint. It holds a slot until complete() or cancel().
struct Dispatch {
    RequestId request;
    EndpointId endpoint;
};

// Refuse the request, which was not dispatched. The pool no longer tracks it.
struct Refuse {
    RequestId request;
    ErrorKind kind;
};

// Call expire() at this time. Replaces the previous timer.
struct ArmTimer {
    TimePoint at;
};

using PoolAction = std::variant<Dispatch, Refuse, ArmTimer>;
using PoolActions = std::vector<PoolAction>;

} // namespace dogwoodhall
