#include "dogwoodhall/pool/EndpointHealth.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

// Weight of the newest sample in the moving averages, which cover about the last 16 responses.
constexpr double newestWeight = 1.0 / 16;
constexpr unsigned maxDoublings = 3;
// Up to this multiple of the median a difference is within the normal variation of service times.
constexpr double ordinarySlowness = 2;

// Geometric mean: a single long request that was not classified as long would move an arithmetic mean so far that the
// endpoint appears slow.
Duration updateGeometricMean(Duration mean, Duration sample)
{
    const double ratio = static_cast<double>(std::max<std::int64_t>(sample.count(), 1))
        / static_cast<double>(std::max<std::int64_t>(mean.count(), 1));
    return Duration(std::llround(static_cast<double>(mean.count()) * std::pow(ratio, newestWeight)));
}

} // namespace

EndpointHealth::State EndpointHealth::state(TimePoint now) const
{
    if (!m_isEjected)
        return State::Serving;
    return now < m_ejectedUntil ? State::Ejected : State::Probing;
}

double EndpointHealth::weight(Duration median) const
{
    double weight = 1 - m_failureShare;
    if (median.count() > 0 && m_meanServiceTime > ordinarySlowness * median)
        weight *= toSeconds(median) / toSeconds(m_meanServiceTime);
    return std::clamp(weight, minimumWeight, 1.0);
}

bool EndpointHealth::recordAnswer(
    Duration serviceTime, Duration median, TimePoint now, const EndpointHealthLimits& limits)
{
    m_failuresInRow = 0;
    m_failureShare *= 1 - newestWeight;
    const bool isProbe = state(now) == State::Probing;
    ++m_samples;
    m_meanServiceTime = m_samples == 1 || isProbe ? serviceTime : updateGeometricMean(m_meanServiceTime, serviceTime);
    const bool isSlow = median.count() > 0 && m_meanServiceTime > limits.slowFactor * median;
    if (isProbe) {
        if (isSlow)
            return true;
        m_isEjected = false;
        m_ejectionsInRow = 0;
        m_samples = 1;
    }
    return isSlow && !m_isEjected && m_samples >= limits.minSamples;
}

bool EndpointHealth::recordFailure(const EndpointHealthLimits& limits)
{
    m_failureShare += (1 - m_failureShare) * newestWeight;
    ++m_failuresInRow;
    return m_isEjected || m_failuresInRow >= limits.failuresToEject;
}

void EndpointHealth::eject(TimePoint now, const EndpointHealthLimits& limits)
{
    // Requests sent before the ejection may fail after it; these failures do not extend it.
    if (state(now) == State::Ejected)
        return;
    m_isEjected = true;
    m_isHealthy = false;
    m_ejectedUntil = now + limits.ejection * (1 << std::min(m_ejectionsInRow, maxDoublings));
    ++m_ejectionsInRow;
}

} // namespace dogwoodhall
