#pragma once

#include "ArrivalProcess.h"
#include "EventQueue.h"
#include "Scenario.h"
#include "SimulatedEndpoint.h"
#include "dogwoodhall/core/RandomEngine.h"

#include <deque>
#include <functional>
#include <vector>

namespace dogwoodhall::bench {

// Identifies a request by its position in the order of arrival.
using RequestIndex = std::size_t;

struct Request {
    Arrival arrival;
    TimePoint deadline;
    bool isDone = false;
};

// Cost of measuring the load of the endpoints.
struct MeasurementCost {
    std::uint64_t calls = 0;
    std::vector<std::uint64_t> bytesByHost; // Sent or requested by each entry host.
};

struct Result {
    std::vector<float> shortAdded; // Milliseconds beyond the service time, of short requests that were served.
    std::vector<float> longTotal; // Milliseconds from arrival to the end of the answer, of long requests.
    std::size_t shortArrived = 0;
    std::size_t shortInTime = 0;
    std::size_t longArrived = 0;
    double busyInTimeSeconds = 0; // Slot time at the peak spent on requests that were served in time.
    MeasurementCost measurementCost;
};

// The environment in which a policy is simulated: virtual time, endpoints, delays, faults, and the results.
class Simulation {
public:
    using Submit = std::function<void(RequestIndex)>;

    Simulation(const Deployment&, const Scenario&, const Options&);

    // Passes all arrivals to `submit`, lets the requests in flight finish and returns the results.
    Result run(Submit);

    EventQueue& events() { return m_events; }
    TimePoint now() const { return m_events.now(); }
    RandomEngine& random() { return m_random; }
    const Deployment& deployment() const { return m_deployment; }
    const Scenario& scenario() const { return m_scenario; }
    const Options& options() const { return m_options; }
    const Request& request(RequestIndex index) const { return m_requests[index]; }
    SimulatedEndpoint& endpoint(std::size_t index) { return m_endpoints[index]; }

    // Runs the event after the delay between two data centres, or never if a network split separates them.
    void send(std::size_t fromDataCentre, std::size_t toDataCentre, EventQueue::Event);
    bool isAlive(std::size_t host) const { return host != m_lostHost; }
    // Called when an entry host is lost.
    void onHostLost(std::function<void(std::size_t)> handler) { m_hostLost = std::move(handler); }
    void addMeasurementCost(std::size_t host, std::uint64_t calls, std::uint64_t bytes);

    // Records a response that has arrived at its entry host. Later responses to the same request are ignored.
    void recordResponse(RequestIndex, const JobOutcome&);

private:
    void scheduleFaults();
    void scheduleArrival();

    const Deployment& m_deployment;
    const Scenario& m_scenario;
    const Options& m_options;
    EventQueue m_events;
    ArrivalProcess m_arrivals;
    RandomEngine m_random;
    std::deque<SimulatedEndpoint> m_endpoints;
    std::deque<Request> m_requests;
    std::size_t m_lostHost = static_cast<std::size_t>(-1);
    bool m_isSplit = false;
    std::function<void(std::size_t)> m_hostLost;
    Submit m_submit;
    Result m_result;
};

} // namespace dogwoodhall::bench
