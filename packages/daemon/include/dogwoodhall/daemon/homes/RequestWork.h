#pragma once

#include "dogwoodhall/daemon/traffic/RequestTrace.h"
#include "dogwoodhall/exchange/ReplayableBody.h"
#include "dogwoodhall/request/RequestLifecycle.h"
#include "dogwoodhall/routing/PoolChooser.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <optional>
#include <vector>

namespace dogwoodhall {

// One request on its way through this process.
struct RequestWork {
    RequestHead head;
    ReplayableBody body;
    Route route;
    WorkClass workClass;
    PoolId pool;
    TimePoint receivedAt;
    TimePoint deadline; // Latest start of the answer.
    RequestLifecycle lifecycle;
    RequestTrace& trace;
    RequestTrace::Hop& entryHop;
    bool isForwarded = false; // By another member to this one, the pool's home.
    bool mayUseHome = true; // False at the home itself, and after the home did not answer.
    std::vector<PoolRefusal> refusals {}; // Of the pools that turned it away.
    std::vector<EndpointId> excluded {}; // Endpoints that failed this request.
    // The last endpoint that refused it. Avoided while there is another; it may have a free slot again later.
    std::optional<EndpointId> refusedBy {};
    bool isAnswered = false; // An upstream's whole answer was handed on.
    Duration upstreamTime {}; // Spent waiting for upstreams' answers to start.
};

} // namespace dogwoodhall
