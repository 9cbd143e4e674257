#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <optional>
#include <unordered_map>

namespace dogwoodhall {

struct HedgeLimits {
    // Share of answers that start before a hedge is sent; the rest, and no more, cost a second attempt.
    Fraction quantile { 0.95 };
    Duration leastDelay = std::chrono::milliseconds(5);
    unsigned samplesToJudge = 50;
};

// Says after which time without an answer an idempotent request may be sent to a second endpoint: the service's 95th
// percentile, tracked with a few bytes for each service.
class HedgePolicy {
public:
    explicit HedgePolicy(HedgeLimits limits = {})
        : m_limits(limits)
    {
    }

    // Time from sending a short request to the start of its answer.
    void observe(const ServiceId&, Duration);

    // Empty while too little is known of the service.
    std::optional<Duration> delayFor(const ServiceId&) const;

private:
    struct Estimate {
        unsigned samples = 0;
        double seconds = 0;
    };

    HedgeLimits m_limits;
    std::unordered_map<ServiceId, Estimate> m_estimates;
};

} // namespace dogwoodhall
