#include "dogwoodhall/pool/EndpointHealth.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

// Weight of the newest sample in the moving averages: about the last 16 answers count.
constexpr double newestShare = 1.0 / 16;
constexpr unsigned mostDoublings = 3;
// Up to this multiple of the median, the spread of ordinary service times explains the difference.
constexpr double toleratedSlowness = 2;

// A mean of logarithms: one long request that is not known as such moves an arithmetic mean so far that the endpoint
// would look slow.
Duration moveTowards(Duration mean, Duration sample)
{
    const double ratio = static_cast<double>(std::max<std::int64_t>(sample.count(), 1))
        / static_cast<double>(std::max<std::int64_t>(mean.count(), 1));
    return Duration(std::llround(static_cast<double>(mean.count()) * std::pow(ratio, newestShare)));
}

} // namespace

EndpointHealth::State EndpointHealth::state(TimePoint now) const
{
    if (!m_isEjected)
        return State::Serving;
    return now < m_ejectedUntil ? State::Ejected : State::Probing;
}

double EndpointHealth::weight(Duration typical) const
{
    double weight = 1 - m_failureShare;
    if (typical.count() > 0 && m_meanServiceTime > toleratedSlowness * typical)
        weight *= toSeconds(typical) / toSeconds(m_meanServiceTime);
    return std::clamp(weight, minimumWeight, 1.0);
}

bool EndpointHealth::recordAnswer(
    Duration serviceTime, Duration typical, TimePoint now, const EndpointHealthLimits& limits)
{
    m_failuresInRow = 0;
    m_failureShare *= 1 - newestShare;
    const bool isProbe = state(now) == State::Probing;
    ++m_samples;
    m_meanServiceTime = m_samples == 1 || isProbe ? serviceTime : moveTowards(m_meanServiceTime, serviceTime);
    const bool isSlow = typical.count() > 0 && m_meanServiceTime > limits.slowFactor * typical;
    if (isProbe) {
        if (isSlow)
            return true;
        m_isEjected = false;
        m_ejectionsInRow = 0;
        m_samples = 1;
    }
    return isSlow && !m_isEjected && m_samples >= limits.samplesToJudge;
}

bool EndpointHealth::recordFailure(const EndpointHealthLimits& limits)
{
    m_failureShare += (1 - m_failureShare) * newestShare;
    ++m_failuresInRow;
    return m_isEjected || m_failuresInRow >= limits.failuresToEject;
}

void EndpointHealth::eject(TimePoint now, const EndpointHealthLimits& limits)
{
    // Failures of requests sent before the ejection say nothing new.
    if (state(now) == State::Ejected)
        return;
    m_isEjected = true;
    m_isHealthy = false;
    m_ejectedUntil = now + limits.ejection * (1 << std::min(m_ejectionsInRow, mostDoublings));
    ++m_ejectionsInRow;
}

} // namespace dogwoodhall
