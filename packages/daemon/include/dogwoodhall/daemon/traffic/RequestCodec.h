#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/dispatch/LoadReport.h"
#include "dogwoodhall/exchange/Head.h"
#include "dogwoodhall/http/UpstreamClient.h"

#include <functional>
#include <optional>
#include <string>

namespace dogwoodhall {

// Metadata from a caller's request headers.
struct CallDescription {
    CallId id; // Empty if the caller sent none.
    std::optional<Duration> timeLeft; // Time until the caller's deadline.
};

// A header field that could not be read, for the log.
struct UnreadableField {
    std::string name;
    std::string value; // Its first characters.
};

// Metadata from an endpoint's response headers.
struct AnswerDescription {
    bool provenNotRun = false; // The endpoint reports that it did not run the request.
    bool isMisdirected = false; // An endpoint other than the intended one responded, without running the request.
    bool isSigned = true; // Carries the header that the endpoint adds to every response it generates itself.
    std::optional<LoadReport> load;
    std::optional<Duration> warmUpLeft; // How long the endpoint stays cold; zero if it is warm, empty if not stated.
    std::optional<EndpointId> endpoint; // The responding endpoint, if it identified itself.
    bool isLeaving = false; // The endpoint announces that it leaves.
    std::optional<Duration> restFor; // How long the endpoint, which refuses the request, asks for no requests.
    std::optional<UnreadableField> unreadable; // An announcement or wish of the endpoint.
};

// Reads and writes the metadata headers of requests and responses, so that the request path does not depend on header
// names.
struct RequestCodec {
    std::function<CallDescription(const HeaderFields&)> readRequestFields;
    // Adds the remaining time and the intended endpoint's id to an upstream request.
    std::function<void(HeaderFields&, Duration timeLeft, const EndpointId&)> addRequestFields;
    // Accepts interim heads too.
    std::function<AnswerDescription(const ResponseHead&)> readResponseHead;
    Correlation correlation;
};

} // namespace dogwoodhall
