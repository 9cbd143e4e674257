#pragma once

#include "dogwoodhall/daemon/traffic/RequestTrace.h"
#include "dogwoodhall/exchange/ReplayableBody.h"
#include "dogwoodhall/request/RequestLifecycle.h"
#include "dogwoodhall/routing/PoolChooser.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <optional>
#include <vector>

namespace dogwoodhall {

// State of one request in progress in this process.
struct RequestState {
    RequestHead head;
    ReplayableBody body;
    Route route;
    WorkClass workClass;
    PoolId pool;
    TimePoint receivedAt;
    TimePoint deadline; // Latest start of the response.
    RequestLifecycle lifecycle;
    RequestTrace& trace;
    RequestTrace::ActiveSpan& entrySpan;
    bool isForwarded = false; // Another member forwarded it to this one, the pool's home.
    bool mayUseHome = true; // False at the home itself, and after the home failed to respond.
    std::vector<PoolRefusal> refusals {}; // From the pools that refused the request.
    std::vector<EndpointId> excluded {}; // Endpoints that failed this request.
    // The last endpoint that refused the request. Avoided while others are available, but may have a free slot later.
    std::optional<EndpointId> refusingEndpoint {};
    bool isAnswered = false; // A complete upstream response was relayed.
    Duration upstreamTime {}; // Time spent waiting for upstream responses to start.
    RequestProgress progress {};
};

} // namespace dogwoodhall
