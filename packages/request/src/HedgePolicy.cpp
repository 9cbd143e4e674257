#include "dogwoodhall/request/HedgePolicy.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

// Relative change per sample above the estimate: the estimate follows a tenfold change of the quantile within about 50
// samples above it.
constexpr double adaptationStep = 0.05;

} // namespace

void HedgePolicy::observe(const ServiceId& service, Duration duration)
{
    Estimate& estimate = m_estimates[service];
    const double seconds = std::max(toSeconds(duration), 1e-6);
    if (estimate.samples == 0)
        estimate.seconds = seconds;
    ++estimate.samples;
    // At the quantile q, upward steps of size q and downward steps of size 1 - q balance.
    const double q = m_limits.quantile.value();
    estimate.seconds *= std::exp(seconds > estimate.seconds ? adaptationStep * q : -adaptationStep * (1 - q));
}

std::optional<Duration> HedgePolicy::delayFor(const ServiceId& service) const
{
    auto it = m_estimates.find(service);
    if (it == m_estimates.end() || it->second.samples < m_limits.minSamples)
        return std::nullopt;
    const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(it->second.seconds));
    return std::max(delay, m_limits.minDelay);
}

} // namespace dogwoodhall
