#pragma once

#include "dogwoodhall/dispatch/RequestPlan.h"

#include <optional>
#include <variant>
#include <vector>

namespace dogwoodhall {

// An endpoint of the request's service.
struct ExplainedEndpoint {
    EndpointId id;
    NetworkAddress address;
    DataCentreId dataCentre;
    Distance distance = Distance::SameDataCentre;
    Exclusion exclusion = Exclusion::None;
    std::optional<EndpointChoice> choice; // Empty if it is excluded.
    bool hasReport = false; // It has reported its load; otherwise EndpointChoice::reportAge has no meaning.
};

// A round of probes that a request would make before it is sent.
struct ExplainedProbes {
    Distance distance = Distance::SameDataCentre;
    std::size_t count = 0; // Endpoints that it probes, chosen at random from the candidates.
    std::vector<EndpointId> candidates;
};

// With DispatchLimits::spill: share of the service's requests that leave the own data centre at once.
struct ExplainedLeaving {
    double sameRegion = 0;
    double otherRegion = 0;
};

// Where a request that arrived now would go, and why. The rounds of probes are those of a request whose probes confirm
// what is known; other answers can change the later rounds and the decision.
struct PlacementExplanation {
    using Decision = std::variant<RefuseRequest, SendRequest>;

    std::optional<std::uint64_t> version; // Of the routing document.
    std::optional<RouteId> route;
    std::vector<RoutePart> parts; // Of the route's traffic split.
    std::optional<ServiceId> service; // The part whose turn it is.
    std::vector<ExplainedEndpoint> endpoints; // All of the service, ordered by id.
    std::vector<ExplainedProbes> probes;
    std::optional<ExplainedLeaving> leaving;
    std::optional<Distance> farthest; // Endpoints further away were not considered.
    // The report of the best endpoint is older than ChooserLimits::maxReportAge.
    bool isByOldReport = false;
    Decision decision = RefuseRequest { ErrorKind::NotReady, Outcome::NotRun, std::nullopt };

    bool isSent() const { return std::holds_alternative<SendRequest>(decision); }
};

} // namespace dogwoodhall
