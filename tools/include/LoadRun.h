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
    // Requests a second. Above 0 the load is open-loop: requests are due at fixed times, and their latency counts from
    // then, so that a slow answer delays no other measurement. 0: closed-loop, the next follows the answer.
    double rate = 0;
    std::string target = "/";
    unsigned deadlineMs = 0; // Of each request; 0: the service's own. An answer in time that is an error is a failure.
};

struct LoadResult {
    std::vector<std::chrono::microseconds> latencies;
    std::size_t failures = 0;
    std::chrono::duration<double> elapsed { 0 };

    void add(const LoadResult&);
    std::chrono::microseconds percentile(double share) const;
    double rate() const;
};

// Runs the load on one thread and gives what was measured.
LoadResult runLoad(const LoadPlan&);

// Connections that stay open, to measure what each costs the other side.
class HeldConnections {
public:
    explicit HeldConnections(const LoadPlan&);
    ~HeldConnections();

    // One request on each connection, with its answer.
    void requestOnEach(const std::string& target);
    // Sends a request on each connection and returns once each has received the first part of its answer.
    void startOnEach(const std::string& target);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dogwoodhall
