#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <optional>
#include <unordered_map>

namespace dogwoodhall {

struct HedgeLimits {
    // Share of responses that start before a hedge is sent; only the rest cause a second attempt.
    Fraction quantile { 0.95 };
    Duration minDelay = std::chrono::milliseconds(5);
    unsigned minSamples = 50;
};

// Determines the time without a response after which an idempotent request may be hedged at a second endpoint: the 95th
// percentile of the service's response times, tracked with a few bytes per service.
class HedgePolicy {
public:
    explicit HedgePolicy(HedgeLimits limits = {})
        : m_limits(limits)
    {
    }

    // Records the time from sending a short request to the start of its response.
    void observe(const ServiceId&, Duration);

    // Returns nullopt until the service has enough samples.
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
