#include "SimulatedEndpoint.h"

#include <utility>

namespace dogwoodhall::bench {

SimulatedEndpoint::SimulatedEndpoint(EventQueue& events, std::uint64_t slots, std::size_t connections)
    : m_events(events)
    , m_slots(slots)
    , m_connections(connections)
{
}

void SimulatedEndpoint::submit(Job job)
{
    if (inSystem() >= m_connections) {
        job.done({ JobResult::Refused, m_events.now(), m_events.now() });
        return;
    }
    m_waiting.push_back(std::move(job));
    startWaitingJobs();
}

void SimulatedEndpoint::startWaitingJobs()
{
    while (m_running < m_slots && !m_waiting.empty()) {
        Job job = std::move(m_waiting.front());
        m_waiting.pop_front();
        const TimePoint now = m_events.now();
        if (job.latestStart < now) {
            job.done({ JobResult::Expired, now, now });
            continue;
        }
        ++m_running;
        const auto service = std::chrono::duration_cast<Duration>(job.service * m_slowdown);
        m_events.at(now + service, [this, now, done = std::move(job.done)] {
            --m_running;
            done({ JobResult::Served, now, m_events.now() });
            startWaitingJobs();
        });
    }
}

} // namespace dogwoodhall::bench
