#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

struct EndpointHealthLimits {
    // Failures or refusals in a row before ejection. A single failure is common when an upstream process restarts.
    unsigned failuresToEject = 5;
    Duration ejection = std::chrono::seconds(2); // Doubled for each ejection in a row, up to eight times.
    // An endpoint this many times slower than the pool's median is ejected; one half as slow only loses weight.
    double slowFactor = 8;
    unsigned samplesToJudge = 10; // Answers before slowness counts.
};

// What one endpoint's answers say about it. An ejected endpoint takes no work for a bounded time, and then one probe
// request at a time until a probe shows that it has recovered. A request that is not idempotent may be the probe only
// once the endpoint has answered a health call, or where the pool has nothing else.
class EndpointHealth {
public:
    enum class State {
        Serving,
        Ejected,
        Probing,
    };

    State state(TimePoint now) const;
    // Between minimumWeight and 1; `typical` is the pool's median service time, or zero while unknown.
    double weight(Duration typical) const;
    Duration meanServiceTime() const { return m_meanServiceTime; }
    TimePoint ejectedUntil() const { return m_ejectedUntil; }

    // An answer of its health endpoint. Not trusted to end an ejection: health endpoints lag and may mislead.
    void recordHealthAnswer(TimePoint now) { m_isHealthy = state(now) == State::Probing; }
    // In state Probing: takes any request as the probe.
    bool takesAnyProbe() const { return m_isHealthy; }

    // These return true where the endpoint should be ejected now; the owner decides, since it must not eject all.
    bool recordAnswer(Duration serviceTime, Duration typical, TimePoint now, const EndpointHealthLimits&);
    bool recordFailure(const EndpointHealthLimits&);
    void eject(TimePoint now, const EndpointHealthLimits&);

    static constexpr double minimumWeight = 0.1;

private:
    Duration m_meanServiceTime {}; // Geometric moving average.
    unsigned m_samples = 0;
    unsigned m_failuresInRow = 0;
    double m_failureShare = 0;
    bool m_isEjected = false;
    bool m_isHealthy = false; // Has answered a health call since the last ejection ended.
    unsigned m_ejectionsInRow = 0;
    TimePoint m_ejectedUntil;
};

} // namespace dogwoodhall
