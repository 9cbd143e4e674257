#include "dogwoodhall/dispatch/ServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

// Slowed hosts run several times slower than usual, others vary by a few percent.
constexpr double slowedFrom = 1.5;
// About the last twenty samples decide.
constexpr double sampleWeight = 0.1;
// Samples before the cost of the last slot counts: the spread of service times of a third gives a mean that is right to
// within a tenth.
constexpr unsigned samplesToJudgeLastSlot = 12;
// Before a route has a history: goals are set to some three times the usual time.
constexpr double usualShareOfGoal = 0.33;
constexpr double priorAnswerBytes = 4096;

bool fillsLastSlot(const LoadReport& load) { return load.running.count() + 1 >= load.slots.count(); }

} // namespace

bool isSlowed(const LoadReport& load) { return load.slowdown >= slowedFrom; }

void ServiceTimes::Average::add(double value)
{
    const double logarithm = std::log(std::max(value, 1e-9));
    ++m_samples;
    // The first samples count equally, so that a single odd one does not stand for long.
    const double weight = std::max(sampleWeight, 1.0 / m_samples);
    m_logarithm += weight * (logarithm - m_logarithm);
}

double ServiceTimes::Average::valueOr(double absent) const { return m_samples > 0 ? std::exp(m_logarithm) : absent; }

void ServiceTimes::observe(
    const RouteId& routeId, const ServiceId& serviceId, const LoadReport& load, Duration serviceTime)
{
    auto& usual = m_routes[routeId].usual;
    const double seconds = toSeconds(serviceTime);
    const bool isFull = load.slots > SlotCount(1) && fillsLastSlot(load);
    if (!isSlowed(load) && !isFull) {
        usual.add(seconds);
        return;
    }
    if (usual.samples() == 0)
        return;
    const double ratio = seconds / usual.valueOr(seconds);
    auto& service = m_services[serviceId];
    if (!isFull)
        service.slowed.add(ratio / load.slowdown);
    else if (!isSlowed(load))
        service.full.add(ratio);
}

Duration ServiceTimes::expected(
    const RouteId& routeId, const ServiceId& serviceId, const LoadReport& load, Duration goal) const
{
    const auto route = m_routes.find(routeId);
    double seconds = toSeconds(goal) * usualShareOfGoal;
    if (route != m_routes.end())
        seconds = route->second.usual.valueOr(seconds);
    const auto service = m_services.find(serviceId);
    const bool isKnown = service != m_services.end();
    if (isSlowed(load))
        seconds *= load.slowdown * (isKnown ? service->second.slowed.valueOr(1) : 1);
    if (load.slots > SlotCount(1) && fillsLastSlot(load) && isKnown)
        seconds *= std::max(1.0, service->second.full.valueOr(1));
    // Each request ahead beyond the slots waits for one of them to end.
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
    if (slots <= SlotCount(1) || service == m_services.end() || service->second.full.samples() < samplesToJudgeLastSlot)
        return slots;
    const auto n = static_cast<double>(slots.count());
    const bool isWorthFilling = service->second.full.valueOr(1) <= n / (n - 1);
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
