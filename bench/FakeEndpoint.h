#pragma once

#include "EventQueue.h"
#include "dogwoodhall/core/Units.h"

#include <deque>
#include <functional>

namespace dogwoodhall::bench {

enum class JobResult {
    Served,
    Refused, // All connections are taken.
    Late, // Dropped from the endpoint's own queue: its deadline had passed.
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

// Runs as many jobs as it has slots, in order of arrival; the others wait on their connections.
class FakeEndpoint {
public:
    FakeEndpoint(EventQueue&, std::uint64_t slots, std::size_t connections);

    void submit(Job);
    std::size_t inSystem() const { return m_running + m_waiting.size(); }
    void setSlowness(double factor) { m_slowness = factor; }

private:
    void startWaiting();

    EventQueue& m_events;
    std::uint64_t m_slots;
    std::size_t m_connections;
    std::uint64_t m_running = 0;
    std::deque<Job> m_waiting;
    double m_slowness = 1;
};

} // namespace dogwoodhall::bench
