#pragma once

#include "dogwoodhall/dispatch/EndpointQuery.h"
#include "dogwoodhall/dispatch/EndpointTracker.h"
#include "dogwoodhall/dispatch/WarmUpLimiter.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace dogwoodhall {

// Why a request may not be sent to an endpoint now.
enum class Exclusion : std::uint8_t {
    None, // The request may be sent.
    AlreadyTried, // This request has been sent to it before.
    Unregistered, // Not in the current directory: it has left, or another endpoint uses its address.
    Unreachable, // It did not answer probes, or was closing.
    OutsideAllowedRegions, // The route may not be served in its region.
    Evacuated, // Operators are evacuating its data centre.
    Leaving, // It has announced that it leaves.
    Resting, // It has asked for no requests for a time, or is tried with one request after that.
    WarmUpLimit, // It is cold, and this member's share of the requests it tolerates is used up.
};

std::string_view toString(Exclusion);

// Number of endpoints by the reason why they may not be used.
using ExclusionCounts = std::map<Exclusion, std::size_t>;

// Decides which endpoints a request may be sent to now. Every send passes through it: first attempts, retries and
// hedges. It follows the latest directory, also for requests that were admitted under an earlier one.
class EndpointEligibility {
public:
    // The references must outlive the object.
    EndpointEligibility(const EndpointTracker& tracker, const WarmUpLimiter& warmUp)
        : m_tracker(tracker)
        , m_warmUp(warmUp)
    {
    }

    void apply(std::shared_ptr<const Directory> directory) { m_directory = std::move(directory); }

    Exclusion exclusionOf(const EndpointQuery&, const DirectoryEndpoint&, TimePoint now) const;
    bool isEligible(const EndpointQuery& query, const DirectoryEndpoint& endpoint, TimePoint now) const
    {
        return exclusionOf(query, endpoint, now) == Exclusion::None;
    }

    // Returns whether the endpoint is cold and should get work from this member before warm ones do.
    bool isDueForWarmUp(const EndpointQuery&, const DirectoryEndpoint&, TimePoint now) const;
    // Returns whether the request may not be sent to an endpoint because of Exclusion::WarmUpLimit.
    bool meetsWarmUpLimit(const EndpointQuery&, TimePoint now) const;
    // Returns how long the request cannot be served because each endpoint that could serve it rests, until the first of
    // them has rested. Empty if one does not rest. Endpoints that the request has tried count too: its caller may
    // return.
    std::optional<Duration> restLeft(const EndpointQuery&, TimePoint now) const;
    // The service of the query in the latest directory, or as it was at the admission if it has been removed.
    const UpstreamDeclaration& serviceOf(const EndpointQuery&) const;

    // Counts the endpoints of the query's service that are not eligible.
    ExclusionCounts countExclusions(const EndpointQuery&, TimePoint now) const;

private:
    const EndpointTracker& m_tracker;
    const WarmUpLimiter& m_warmUp;
    std::shared_ptr<const Directory> m_directory; // Null until the first one is applied.
};

} // namespace dogwoodhall
