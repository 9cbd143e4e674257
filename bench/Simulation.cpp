#include "Simulation.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall::bench {

namespace {

// Policies use another random sequence than arrivals, so that all policies get the same arrivals.
constexpr std::uint64_t policySeedOffset = 1'000'003;
constexpr double slowdownFactor = 10;
constexpr Duration drainTime = std::chrono::seconds(5);

TimePoint shareOf(Duration duration, double share)
{
    return TimePoint(std::chrono::duration_cast<Duration>(duration * share));
}

} // namespace

Simulation::Simulation(const Deployment& deployment, const Scenario& scenario, const Options& options)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_options(options)
    , m_arrivals(deployment, scenario, options)
    , m_random(options.seed + policySeedOffset)
{
    for (std::size_t n = 0; n < deployment.endpoints; ++n)
        m_endpoints.emplace_back(m_events, deployment.slots, deployment.connections);
    m_result.measurementCost.bytesByHost.resize(deployment.entryHosts);
}

Result Simulation::run(Submit submit)
{
    m_submit = std::move(submit);
    scheduleFaults();
    scheduleArrival();
    m_events.runUntil(TimePoint(m_options.duration + drainTime));
    return std::move(m_result);
}

void Simulation::send(std::size_t from, std::size_t to, EventQueue::Event event)
{
    const auto isCutOff = [](std::size_t dataCentre) { return Deployment::regionOf(dataCentre) == 0; };
    if (m_isSplit && isCutOff(from) != isCutOff(to))
        return;
    m_events.at(now() + m_deployment.delay(from, to), std::move(event));
}

void Simulation::addMeasurementCost(std::size_t host, std::uint64_t calls, std::uint64_t bytes)
{
    m_result.measurementCost.calls += calls;
    m_result.measurementCost.bytesByHost[host] += bytes;
}

void Simulation::recordResponse(RequestIndex index, const JobOutcome& outcome)
{
    Request& request = m_requests[index];
    if (request.isDone || !isAlive(request.arrival.host))
        return;
    request.isDone = true;
    if (outcome.result != JobResult::Served || request.arrival.at < TimePoint(m_options.warmUp))
        return;
    // A long answer is in time when it starts in time.
    const bool isInTime = (request.arrival.isLong ? outcome.started : now()) <= request.deadline;
    const Duration total = now() - request.arrival.at;
    if (request.arrival.isLong)
        m_result.longTotal.push_back(static_cast<float>(toMilliseconds(total)));
    else
        m_result.shortAdded.push_back(static_cast<float>(toMilliseconds(total - request.arrival.service)));
    if (!isInTime)
        return;
    m_result.shortInTime += request.arrival.isLong ? 0 : 1;
    const TimePoint from = std::max(outcome.started, TimePoint(m_options.warmUp));
    const TimePoint to = std::min(outcome.ended, TimePoint(m_options.duration));
    m_result.busyInTimeSeconds += toSeconds(timeAtPeak(m_scenario, from, to));
}

void Simulation::scheduleFaults()
{
    if (m_scenario.hasSlowEndpoint) {
        m_events.at(shareOf(m_options.duration, 0.25), [this] { m_endpoints[0].setSlowdown(slowdownFactor); });
        m_events.at(shareOf(m_options.duration, 0.75), [this] { m_endpoints[0].setSlowdown(1); });
    }
    if (m_scenario.losesMember) {
        m_events.at(shareOf(m_options.duration, 0.4), [this] {
            m_lostHost = 0;
            if (m_hostLost)
                m_hostLost(0);
        });
    }
    if (m_scenario.splitsRegion) {
        m_events.at(shareOf(m_options.duration, 0.4), [this] { m_isSplit = true; });
        m_events.at(shareOf(m_options.duration, 0.7), [this] { m_isSplit = false; });
    }
}

void Simulation::scheduleArrival()
{
    Arrival arrival = m_arrivals.next();
    if (arrival.at >= TimePoint(m_options.duration))
        return;
    m_events.at(arrival.at, [this, arrival]() mutable {
        // The platform's load balancer sends nothing to a lost host; another host of its data centre gets its share.
        if (!isAlive(arrival.host))
            arrival.host += m_deployment.dataCentres;
        m_requests.push_back({ arrival, arrival.at + m_options.deadline, false });
        if (arrival.at >= TimePoint(m_options.warmUp))
            ++(arrival.isLong ? m_result.longArrived : m_result.shortArrived);
        m_submit(m_requests.size() - 1);
        scheduleArrival();
    });
}

} // namespace dogwoodhall::bench
