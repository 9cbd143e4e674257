#pragma once

#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/core/WorkClass.h"

#include <optional>
#include <variant>
#include <vector>

namespace dogwoodhall {

// A request for one slot of the pool.
struct PoolRequest {
    RequestId id;
    WorkClass workClass = WorkClass::Short;
    Priority priority = Priority::Normal;
    TimePoint deadline = TimePoint::max(); // Latest start of the answer.
    std::vector<EndpointId> excluded; // Endpoints that already refused or failed this request.
    bool isIdempotent = false; // May run twice, so that it may try whether an ejected endpoint has recovered.
};

// How a dispatched request ended at its endpoint.
enum class CompletionResult {
    Answered,
    Refused, // The endpoint said that it did not run the request.
    ConnectFailed, // No byte was handed to a connection.
    Failed, // The connection broke, or the answer was malformed or cut short.
    Cancelled, // The caller went away or the deadline passed before the answer started.
    CallerFailed, // The caller went away, or was too slow, in its own body or in the answer: no fault of the endpoint.
    Overtaken, // A hedge that was sent later to another endpoint was answered first.
};

struct Completion {
    CompletionResult result = CompletionResult::Answered;
    Duration serviceTime {}; // From dispatch to the end of the answer.
    std::optional<SlotCount> reportedInUse; // From the answer's load header.
    bool isDraining = false; // The answer said that the endpoint is leaving.
};

// The request now holds a slot of the endpoint until complete() or cancel().
struct Dispatch {
    RequestId request;
    EndpointId endpoint;
};

// The request was not dispatched and is forgotten.
struct Refuse {
    RequestId request;
    ErrorKind kind;
};

// Call expire() at this time. Replaces an earlier timer.
struct ArmTimer {
    TimePoint at;
};

using PoolAction = std::variant<Dispatch, Refuse, ArmTimer>;
using PoolActions = std::vector<PoolAction>;

} // namespace dogwoodhall
