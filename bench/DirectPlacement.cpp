#include "DirectPlacement.h"

#include <utility>

namespace dogwoodhall::bench {

namespace {

// Size of a health call and its response: request line, status line and headers of about 100 bytes each, and a short
// body.
constexpr std::uint64_t pollBytes = 250;

} // namespace

DirectPlacement::DirectPlacement(Simulation& simulation, DirectSettings settings)
    : m_simulation(simulation)
    , m_settings(std::move(settings))
    , m_entryHosts(simulation.deployment().entryHosts)
    , m_assigned(simulation.deployment().endpoints)
{
    const Deployment& deployment = simulation.deployment();
    for (std::size_t host = 0; host < m_entryHosts.size(); ++host) {
        const std::size_t own = deployment.dataCentreOfHost(host);
        for (std::size_t n = 0; n < deployment.endpoints; ++n) {
            const std::size_t other = deployment.dataCentreOfEndpoint(n);
            const bool isOffered = m_settings.staysInDataCentre
                ? own == other
                : Deployment::regionOf(own) == Deployment::regionOf(other);
            if (!isOffered)
                continue;
            m_entryHosts[host].endpoints.push_back(n);
            m_entryHosts[host].candidates.push_back(
                { EndpointId(std::to_string(n)), SlotCount(deployment.slots), {}, {}, 1 });
        }
        if (m_settings.usesReports)
            poll(host);
    }
}

void DirectPlacement::submit(RequestIndex index)
{
    EntryHost& entry = m_entryHosts[m_simulation.request(index).arrival.host];
    if (m_settings.hasGlobalView) {
        for (std::size_t n = 0; n < entry.endpoints.size(); ++n)
            entry.candidates[n].inUse = SlotCount(m_assigned[entry.endpoints[n]]);
    }
    const auto chosen
        = m_settings.policy(entry.candidates, WorkClass::Short, { m_simulation.now(), m_simulation.random() });
    if (chosen)
        send(index, *chosen);
}

// Samples the load of all endpoints at once, in the middle of the round trip. Repeats as long as requests arrive.
void DirectPlacement::poll(std::size_t host)
{
    EntryHost& entry = m_entryHosts[host];
    if (!m_simulation.isAlive(host) || m_simulation.now() >= TimePoint(m_simulation.options().duration))
        return;
    for (std::size_t n = 0; n < entry.endpoints.size(); ++n) {
        m_simulation.addMeasurementCost(host, 1, pollBytes);
        const std::uint64_t inUse = m_simulation.endpoint(entry.endpoints[n]).inSystem();
        m_simulation.send(m_simulation.deployment().dataCentreOfEndpoint(entry.endpoints[n]),
            m_simulation.deployment().dataCentreOfHost(host),
            [&entry, n, inUse] { entry.candidates[n].reportedInUse = SlotCount(inUse); });
    }
    // The first polls are staggered, so that the hosts' polls are spread over the period.
    const Duration period = m_simulation.scenario().reportPeriod;
    const Duration offset = m_simulation.now() == TimePoint() ? period * static_cast<long>(host) / 15 : Duration {};
    m_simulation.events().at(m_simulation.now() + period + offset, [this, host] { poll(host); });
}

void DirectPlacement::send(RequestIndex index, std::size_t candidate)
{
    const Request& request = m_simulation.request(index);
    const std::size_t host = request.arrival.host;
    const std::size_t own = m_simulation.deployment().dataCentreOfHost(host);
    const std::size_t endpoint = m_entryHosts[host].endpoints[candidate];
    const std::size_t other = m_simulation.deployment().dataCentreOfEndpoint(endpoint);
    m_entryHosts[host].candidates[candidate].inUse += SlotCount(1);
    ++m_assigned[endpoint];
    const auto answered = [this, index, host, candidate](const JobOutcome& outcome) {
        // Without the global view, the host only counts its own requests.
        if (!m_settings.hasGlobalView)
            m_entryHosts[host].candidates[candidate].inUse -= SlotCount(1);
        m_simulation.recordResponse(index, outcome);
    };
    const auto ended = [this, own, other, endpoint, answered](const JobOutcome& outcome) {
        --m_assigned[endpoint];
        m_simulation.send(other, own, [answered, outcome] { answered(outcome); });
    };
    m_simulation.send(own, other, [this, index, endpoint, ended] {
        const Request& request = m_simulation.request(index);
        m_simulation.endpoint(endpoint).submit({ request.arrival.service, request.deadline, ended });
    });
}

} // namespace dogwoodhall::bench
