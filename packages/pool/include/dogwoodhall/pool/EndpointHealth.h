#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

struct EndpointHealthLimits {
    // Consecutive failures or refusals before ejection. A single failure is common when an upstream process restarts.
    unsigned failuresToEject = 5;
    Duration ejection = std::chrono::seconds(2); // Doubled for each consecutive ejection, up to a factor of eight.
    // An endpoint this many times slower than the pool's median is ejected; one half as slow only loses weight.
    double slowFactor = 8;
    unsigned minSamples = 10; // Responses before an endpoint can be ejected as slow.
};

// Health of one endpoint as derived from its responses (outlier detection). An ejected endpoint receives no work for a
// bounded time, and then one probe request at a time until a probe shows that it has recovered. A request that is not
// idempotent may be the probe only after the endpoint has answered a health check, or if the pool has no other
// endpoint.
class EndpointHealth {
public:
    enum class State {
        Serving,
        Ejected,
        Probing,
    };

    State state(TimePoint now) const;
    // Returns a weight between minimumWeight and 1. `median` is the pool's median service time, or zero if unknown.
    double weight(Duration median) const;
    Duration meanServiceTime() const { return m_meanServiceTime; }
    TimePoint ejectedUntil() const { return m_ejectedUntil; }

    // Records a health check response. It does not end an ejection, because health endpoints lag and can be wrong.
    void recordHealthAnswer(TimePoint now) { m_isHealthy = state(now) == State::Probing; }
    // In state Probing: any request may be the probe.
    bool acceptsAnyProbe() const { return m_isHealthy; }

    // These return true if the endpoint should be ejected now. The pool decides, since it must not eject all endpoints.
    bool recordAnswer(Duration serviceTime, Duration median, TimePoint now, const EndpointHealthLimits&);
    bool recordFailure(const EndpointHealthLimits&);
    void eject(TimePoint now, const EndpointHealthLimits&);

    static constexpr double minimumWeight = 0.1;

private:
    Duration m_meanServiceTime {}; // Geometric moving average.
    unsigned m_samples = 0;
    unsigned m_failuresInRow = 0;
    double m_failureShare = 0;
    bool m_isEjected = false;
    bool m_isHealthy = false; // Has answered a health check since the last ejection ended.
    unsigned m_ejectionsInRow = 0;
    TimePoint m_ejectedUntil;
};

} // namespace dogwoodhall
