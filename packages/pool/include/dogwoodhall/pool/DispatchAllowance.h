#pragma once

#include "dogwoodhall/core/Units.h"

#include <array>
#include <cstddef>

namespace dogwoodhall {

struct AllowanceLimits {
    SlotCount least { 1 };
    // Requests above the slots wait at the endpoint, where nothing can place them elsewhere any more. The bound also
    // limits what a health endpoint that answers late can do.
    SlotCount most { 4 };
    // Slots that may stand idle on average while requests wait. The target for a demand peak is that 99% of what the
    // slots can hold is served.
    Fraction idleShare { 0.01 };
};

// How many requests an endpoint of a pool is sent above its slots. A slot that becomes free is idle until the end of
// its request has reached the home and the next request has come back, unless the next one waits at the endpoint
// already. The allowance is the smallest that keeps the idle share of slots below its limit: during one round trip the
// endpoint ends slots * roundTrip / serviceTime requests on average, taken as Poisson distributed, and those beyond the
// allowance leave their slots idle.
class DispatchAllowance {
public:
    // From the home to an endpoint and back, without service.
    void observeRoundTrip(Duration);
    // An answer to short work: the time from its dispatch to its end, and the requests that the endpoint held then,
    // this one included.
    void observeAnswer(Duration held, SlotCount slots, SlotCount outstanding);

    // The least one while round trip or service time are unknown.
    SlotCount forEndpoint(SlotCount slots, const AllowanceLimits&) const;

private:
    // The least of several: a probe that waited at a busy endpoint or opened a connection says too much.
    Duration roundTrip() const;

    std::array<Duration, 16> m_roundTrips {}; // The latest ones; zero where there is none yet.
    std::size_t m_nextRoundTrip = 0;
    Duration m_meanServiceTime {};
};

} // namespace dogwoodhall
