#include "DirectPlacement.h"

#include <utility>

namespace dogwoodhall::bench {

namespace {

// A health call with its answer: request line, status line and headers of about 100 bytes each, and a short body.
constexpr std::uint64_t pollBytes = 250;

} // namespace

DirectPlacement::DirectPlacement(World& world, DirectSettings settings)
    : m_world(world)
    , m_settings(std::move(settings))
    , m_entries(world.deployment().entryHosts)
    , m_assigned(world.deployment().endpoints)
{
    const Deployment& deployment = world.deployment();
    for (std::size_t host = 0; host < m_entries.size(); ++host) {
        const std::size_t own = deployment.dataCentreOfHost(host);
        for (std::size_t n = 0; n < deployment.endpoints; ++n) {
            const std::size_t other = deployment.dataCentreOfEndpoint(n);
            const bool isOffered = m_settings.staysInDataCentre
                ? own == other
                : Deployment::regionOf(own) == Deployment::regionOf(other);
            if (!isOffered)
                continue;
            m_entries[host].endpoints.push_back(n);
            m_entries[host].candidates.push_back(
                { EndpointId(std::to_string(n)), SlotCount(deployment.slots), {}, {}, 1 });
        }
        if (m_settings.usesReports)
            poll(host);
    }
}

void DirectPlacement::submit(RequestIndex index)
{
    Entry& entry = m_entries[m_world.request(index).arrival.host];
    if (m_settings.knowsAll) {
        for (std::size_t n = 0; n < entry.endpoints.size(); ++n)
            entry.candidates[n].inUse = SlotCount(m_assigned[entry.endpoints[n]]);
    }
    const auto chosen = m_settings.policy(entry.candidates, WorkClass::Short, { m_world.now(), m_world.random() });
    if (chosen)
        send(index, *chosen);
}

// Reads all loads at one time, in the middle of the round trip; the polls repeat while arrivals come.
void DirectPlacement::poll(std::size_t host)
{
    Entry& entry = m_entries[host];
    if (!m_world.isAlive(host) || m_world.now() >= TimePoint(m_world.options().duration))
        return;
    for (std::size_t n = 0; n < entry.endpoints.size(); ++n) {
        m_world.chargeMeasuring(host, 1, pollBytes);
        const std::uint64_t inUse = m_world.endpoint(entry.endpoints[n]).inSystem();
        m_world.send(m_world.deployment().dataCentreOfEndpoint(entry.endpoints[n]),
            m_world.deployment().dataCentreOfHost(host),
            [&entry, n, inUse] { entry.candidates[n].reportedInUse = SlotCount(inUse); });
    }
    // The hosts' polls are spread over the period by their different first times.
    const Duration period = m_world.scenario().reportPeriod;
    const Duration offset = m_world.now() == TimePoint() ? period * static_cast<long>(host) / 15 : Duration {};
    m_world.events().at(m_world.now() + period + offset, [this, host] { poll(host); });
}

void DirectPlacement::send(RequestIndex index, std::size_t candidate)
{
    const Request& request = m_world.request(index);
    const std::size_t host = request.arrival.host;
    const std::size_t own = m_world.deployment().dataCentreOfHost(host);
    const std::size_t endpoint = m_entries[host].endpoints[candidate];
    const std::size_t other = m_world.deployment().dataCentreOfEndpoint(endpoint);
    m_entries[host].candidates[candidate].inUse += SlotCount(1);
    ++m_assigned[endpoint];
    const auto answered = [this, index, host, candidate](const JobOutcome& outcome) {
        // Without knowledge of all, the host counts only its own requests.
        if (!m_settings.knowsAll)
            m_entries[host].candidates[candidate].inUse -= SlotCount(1);
        m_world.served(index, outcome);
    };
    const auto ended = [this, own, other, endpoint, answered](const JobOutcome& outcome) {
        --m_assigned[endpoint];
        m_world.send(other, own, [answered, outcome] { answered(outcome); });
    };
    m_world.send(own, other, [this, index, endpoint, ended] {
        const Request& request = m_world.request(index);
        m_world.endpoint(endpoint).submit({ request.arrival.service, request.deadline, ended });
    });
}

} // namespace dogwoodhall::bench
