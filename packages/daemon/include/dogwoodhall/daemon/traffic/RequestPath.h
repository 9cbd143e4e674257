#pragma once

#include "dogwoodhall/configuration/ConfigurationLease.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/dispatch/PlacementExplanation.h"
#include "dogwoodhall/dispatch/StopSchedule.h"
#include "dogwoodhall/exchange/Exchange.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace dogwoodhall {

// Request handling of a traffic thread; selected at process start.
struct RequestPath {
    std::function<asio::awaitable<void>(IncomingRequest, const ResponseWriter&)> run;
    std::function<void(const SnapshotPointer&)> apply;
    // Empty if the path decides by the snapshot whatever its age.
    std::function<void(const LeaseTerm&)> renewLease;
    // Returns nothing if what the configuration lacks or forbids is certain. Otherwise no request may be denied for
    // good by it, and callers should try again after this time. Empty if the path always decides by what it has.
    std::function<std::optional<Duration>()> retryIfUncertain;
    std::function<void(const StopSchedule&)> stop; // The process ends as scheduled. Empty if the path has no schedule.
    std::function<std::size_t()> running; // Number of requests in progress.
    std::function<void()> tick; // Called several times a second.
    // Returns where a request with this remaining time would go now, without sending it. Empty if the path cannot say.
    std::function<PlacementExplanation(const RouteQuery&, std::optional<Duration>)> explain;
};

} // namespace dogwoodhall
