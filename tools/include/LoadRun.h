#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodhall {

struct LoadPlan {
    NetworkAddress address;
    std::size_t connections = 8;
    std::chrono::duration<double> duration { 10 };
    // Requests per second. If it is above 0, the load is open-loop: requests are due at fixed times, and their latency
    // is measured from then, so that a slow response does not delay other measurements. If it is 0, the load is
    // closed-loop: a connection sends its next request after the response.
    double rate = 0;
    std::string target = "/";
    // Deadline of each request; 0 uses the service's own. An error response counts as a failure, even within the
    // deadline.
    unsigned deadlineMs = 0;
};

struct LoadResult {
    std::vector<std::chrono::microseconds> latencies;
    std::size_t failures = 0;
    std::chrono::duration<double> elapsed { 0 };

    void add(const LoadResult&);
    std::chrono::microseconds percentile(double share) const;
    double rate() const;
};

// Generates the load on one thread and returns the measurements.
LoadResult runLoad(const LoadPlan&);

// Connections that are kept open to measure how much memory each takes in the server.
class PersistentConnections {
public:
    explicit PersistentConnections(const LoadPlan&);
    ~PersistentConnections();

    // Sends one request on each connection and reads the response.
    void requestOnEach(const std::string& target);
    // Sends a request on each connection and returns once each has received the first byte of its response.
    void startOnEach(const std::string& target);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dogwoodhall
