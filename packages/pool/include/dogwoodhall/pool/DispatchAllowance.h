#pragma once

#include "dogwoodhall/core/Units.h"

#include <array>
#include <cstddef>

namespace dogwoodhall {

struct AllowanceLimits {
    SlotCount minRequests { 1 };
    // Requests beyond the slots queue at the endpoint and can no longer be placed elsewhere. This bound also limits the
    // effect of a health endpoint that responds late.
    SlotCount maxRequests { 4 };
    // Maximum average share of slots that are idle while requests wait. The target in a demand peak is to serve 99% of
    // what the slots can handle.
    Fraction maxIdleShare { 0.01 };
};

// Computes how many requests an endpoint is sent beyond its slots. A slot that becomes free is idle until the
// completion has reached the home and the next request has arrived, unless a request is already queued at the endpoint.
// The allowance is the smallest that keeps the idle share of slots below its limit: during one round trip the endpoint
// completes slots * roundTrip / serviceTime requests on average, modelled as Poisson distributed, and each completion
// beyond the allowance leaves a slot idle.
class DispatchAllowance {
public:
    // Records a round trip from the home to an endpoint, without service time.
    void observeRoundTrip(Duration);
    // Records the response to a short request: the time from dispatch to completion, and the number of requests that
    // the endpoint held at completion, including this one.
    void observeAnswer(Duration held, SlotCount slots, SlotCount outstanding);

    // Returns the minimum while the round trip or the service time is unknown.
    SlotCount forEndpoint(SlotCount slots, const AllowanceLimits&) const;

private:
    // Returns the minimum of the samples: a probe that waited at a busy endpoint or opened a connection is too long.
    Duration roundTrip() const;

    std::array<Duration, 16> m_roundTrips {}; // The most recent samples; zero if unset.
    std::size_t m_nextRoundTrip = 0;
    Duration m_meanServiceTime {};
};

} // namespace dogwoodhall
