#pragma once

#include "EventQueue.h"
#include "dogwoodhall/core/Units.h"

#include <deque>
#include <functional>

namespace dogwoodhall::bench {

enum class JobResult {
    Served,
    Refused, // All connections are in use.
    Expired, // Dropped from the endpoint's queue because its deadline had passed.
};

struct JobOutcome {
    JobResult result;
    TimePoint started;
    TimePoint ended;
};

struct Job {
    Duration service;
    TimePoint latestStart;
    std::function<void(const JobOutcome&)> done;
};

// Runs as many jobs as it has slots, in order of arrival. The other jobs wait, and each of them holds a connection.
class SimulatedEndpoint {
public:
    SimulatedEndpoint(EventQueue&, std::uint64_t slots, std::size_t connections);

    void submit(Job);
    std::size_t inSystem() const { return m_running + m_waiting.size(); }
    void setSlowdown(double factor) { m_slowdown = factor; }

private:
    void startWaitingJobs();

    EventQueue& m_events;
    std::uint64_t m_slots;
    std::size_t m_connections;
    std::uint64_t m_running = 0;
    std::deque<Job> m_waiting;
    double m_slowdown = 1;
};

} // namespace dogwoodhall::bench
