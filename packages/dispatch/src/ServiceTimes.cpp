#include "dogwoodhall/dispatch/ServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

// Slowed hosts are several times slower than usual; others vary by a few percent.
constexpr double slowdownThreshold = 1.5;
// The averages cover about the last 20 samples.
constexpr double sampleWeight = 0.1;
// Samples needed before the cost of the last slot is used: service times vary by a third, so that the mean of 12 is
// within a tenth.
constexpr unsigned minSamplesForLastSlot = 12;
// Used while a route has no history: goals are set to about three times the usual service time.
constexpr double priorShareOfGoal = 0.33;
constexpr double priorAnswerBytes = 4096;

bool fillsLastSlot(const LoadReport& load) { return load.running.count() + 1 >= load.slots.count(); }

} // namespace

bool isSlowed(const LoadReport& load) { return load.slowdown >= slowdownThreshold; }

void ServiceTimes::Average::add(double value)
{
    const double logarithm = std::log(std::max(value, 1e-9));
    ++m_samples;
    // The first samples are weighted equally, so that a single outlier does not dominate the average.
    const double weight = std::max(sampleWeight, 1.0 / m_samples);
    m_meanLogarithm += weight * (logarithm - m_meanLogarithm);
}

double ServiceTimes::Average::valueOr(double fallback) const
{
    return m_samples > 0 ? std::exp(m_meanLogarithm) : fallback;
}

void ServiceTimes::observe(
    const RouteId& routeId, const ServiceId& serviceId, const LoadReport& load, Duration serviceTime)
{
    auto& baseline = m_routes[routeId].baseline;
    const double seconds = toSeconds(serviceTime);
    const bool isFull = load.slots > SlotCount(1) && fillsLastSlot(load);
    if (!isSlowed(load) && !isFull) {
        baseline.add(seconds);
        return;
    }
    if (baseline.samples() == 0)
        return;
    const double ratio = seconds / baseline.valueOr(seconds);
    auto& service = m_services[serviceId];
    if (!isFull)
        service.slowedHost.add(ratio / load.slowdown);
    else if (!isSlowed(load))
        service.lastSlot.add(ratio);
}

Duration ServiceTimes::expected(
    const RouteId& routeId, const ServiceId& serviceId, const LoadReport& load, Duration goal) const
{
    const auto route = m_routes.find(routeId);
    double seconds = toSeconds(goal) * priorShareOfGoal;
    if (route != m_routes.end())
        seconds = route->second.baseline.valueOr(seconds);
    const auto service = m_services.find(serviceId);
    const bool isKnown = service != m_services.end();
    if (isSlowed(load))
        seconds *= load.slowdown * (isKnown ? service->second.slowedHost.valueOr(1) : 1);
    if (load.slots > SlotCount(1) && fillsLastSlot(load) && isKnown)
        seconds *= std::max(1.0, service->second.lastSlot.valueOr(1));
    // Each request beyond the slots waits for another one to finish.
    const std::uint64_t ahead = load.running.count() + load.waiting.count();
    if (ahead >= load.slots.count() && load.slots.count() > 0) {
        const auto queued = static_cast<double>(ahead + 1 - load.slots.count());
        seconds += seconds * queued / static_cast<double>(load.slots.count());
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

SlotCount ServiceTimes::bestConcurrency(const ServiceId& id, SlotCount slots) const
{
    const auto service = m_services.find(id);
    if (slots <= SlotCount(1) || service == m_services.end()
        || service->second.lastSlot.samples() < minSamplesForLastSlot)
        return slots;
    const auto n = static_cast<double>(slots.count());
    const bool isWorthFilling = service->second.lastSlot.valueOr(1) <= n / (n - 1);
    return isWorthFilling ? slots : slots - SlotCount(1);
}

void ServiceTimes::observeAnswerBytes(const RouteId& id, ByteCount bytes)
{
    m_routes[id].bytes.add(static_cast<double>(std::max<std::uint64_t>(bytes.count(), 1)));
}

ByteCount ServiceTimes::expectedAnswerBytes(const RouteId& id) const
{
    const auto route = m_routes.find(id);
    const double bytes = route == m_routes.end() ? priorAnswerBytes : route->second.bytes.valueOr(priorAnswerBytes);
    return ByteCount(static_cast<std::uint64_t>(bytes));
}

} // namespace dogwoodhall
