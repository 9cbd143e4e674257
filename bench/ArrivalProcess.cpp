#include "ArrivalProcess.h"

#include <algorithm>

namespace dogwoodhall::bench {

namespace {

constexpr Duration peakPeriod = std::chrono::milliseconds(2000);
constexpr Duration ramp = std::chrono::milliseconds(100);
constexpr Duration peakEnd = std::chrono::milliseconds(600);

// Share of the arrivals in the other regions that is kept if the first region is hot. With a third of the slots, the
// first region then receives about 1.5 times its share of the load.
constexpr double otherRegionsKeptShare = 0.5;

Duration seconds(double value) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value)); }

} // namespace

double loadFactor(const Scenario& scenario, TimePoint time)
{
    if (!scenario.hasPeaks)
        return 1;
    const Duration phase = time.sinceOrigin() % peakPeriod;
    double rise = 0;
    if (phase < ramp)
        rise = toSeconds(phase) / toSeconds(ramp);
    else if (phase < peakEnd)
        rise = 1;
    else if (phase < peakEnd + ramp)
        rise = toSeconds(peakEnd + ramp - phase) / toSeconds(ramp);
    return 1 + rise * (peakFactor - 1);
}

Duration timeAtPeak(const Scenario& scenario, TimePoint from, TimePoint to)
{
    if (to <= from)
        return {};
    if (!scenario.hasPeaks)
        return to - from;
    Duration total {};
    for (Duration start = from.sinceOrigin() / peakPeriod * peakPeriod; start < to.sinceOrigin(); start += peakPeriod) {
        const Duration begin = std::max(from.sinceOrigin(), start + ramp);
        const Duration end = std::min(to.sinceOrigin(), start + peakEnd);
        total += std::max(Duration {}, end - begin);
    }
    return total;
}

ArrivalProcess::ArrivalProcess(const Deployment& deployment, const Scenario& scenario, const Options& options)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_shortSeconds(toSeconds(options.service))
    , m_random(options.seed)
{
    // The load is a share of the slots' time, regardless of the mix of short and long work.
    const double meanSeconds = m_shortSeconds * (1 + scenario.longShare * (longFactor - 1));
    const double baseRate = options.load * static_cast<double>(deployment.totalSlots()) / meanSeconds;
    m_highestRate = baseRate * (scenario.hasPeaks ? peakFactor : 1);
}

Arrival ArrivalProcess::next()
{
    const double highestFactor = m_scenario.hasPeaks ? peakFactor : 1;
    std::exponential_distribution<double> gap(m_highestRate);
    do {
        m_now = m_now + seconds(gap(m_random));
    } while (uniform() * highestFactor > loadFactor(m_scenario, m_now));
    const std::size_t host = pickHost();
    const bool isLong = uniform() < m_scenario.longShare;
    // Half of the service time is fixed and half is exponential, which gives a coefficient of variation of one half.
    const double factor = 0.5 + std::exponential_distribution<double>(2)(m_random);
    return { m_now, host, isLong, seconds(m_shortSeconds * factor * (isLong ? longFactor : 1)) };
}

std::size_t ArrivalProcess::pickHost()
{
    std::size_t dataCentre = 0;
    double share = 1;
    do {
        const auto endpoint = std::uniform_int_distribution<std::size_t>(0, m_deployment.endpoints - 1)(m_random);
        dataCentre = m_deployment.dataCentreOfEndpoint(endpoint);
        if (m_scenario.hasHotRegion)
            share = Deployment::regionOf(dataCentre) == 0 ? 1 : otherRegionsKeptShare;
    } while (share < 1 && uniform() > share);
    const std::size_t hosts
        = (m_deployment.entryHosts - dataCentre + m_deployment.dataCentres - 1) / m_deployment.dataCentres;
    return dataCentre + m_deployment.dataCentres * std::uniform_int_distribution<std::size_t>(0, hosts - 1)(m_random);
}

} // namespace dogwoodhall::bench
