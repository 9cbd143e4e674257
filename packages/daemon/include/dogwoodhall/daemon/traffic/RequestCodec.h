#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/dispatch/LoadReport.h"
#include "dogwoodhall/exchange/Head.h"
#include "dogwoodhall/http/UpstreamClient.h"

#include <functional>
#include <optional>

namespace dogwoodhall {

// What a caller's request says about itself.
struct CallDescription {
    CallId id; // Empty where the caller gives none.
    std::optional<Duration> timeLeft; // How long the caller will wait.
};

// What an endpoint's answer says beside its status.
struct AnswerDescription {
    bool provenNotRun = false; // The endpoint states that it did not run the request.
    bool isMisdirected = false; // Another endpoint than the expected one answered, without running the request.
    bool isWhole = true; // Carries what the endpoint adds to each answer of its own.
    std::optional<LoadReport> load;
    std::optional<EndpointId> endpoint; // That answered, where it says so.
};

// Reads and writes what requests and answers state in their fields, so that the request path knows no field names.
struct RequestCodec {
    std::function<CallDescription(const HeaderFields&)> describe;
    // Adds what an endpoint is told: the time left, and which endpoint is meant.
    std::function<void(HeaderFields&, Duration timeLeft, const EndpointId&)> address;
    std::function<AnswerDescription(const ResponseHead&)> read;
    Correlation correlation;
};

} // namespace dogwoodhall
