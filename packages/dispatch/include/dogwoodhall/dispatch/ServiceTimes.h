#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/dispatch/LoadReport.h"

#include <unordered_map>

namespace dogwoodhall {

// Learns service times from responses: a baseline for each route, and factors for slowed hosts and for requests that
// fill an endpoint's last slot. Uses geometric means, which are insensitive to the few requests that run many times
// longer.
class ServiceTimes {
public:
    // `load` is the load of the endpoint just before the request was sent.
    void observe(const RouteId&, const ServiceId&, const LoadReport& load, Duration serviceTime);

    // Returns the expected service time of a request of the route at an endpoint with this load. Derived from `goal`
    // while the route has no history.
    Duration expected(const RouteId&, const ServiceId&, const LoadReport& load, Duration goal) const;

    // Returns the concurrency that maximises the throughput of an endpoint with this many slots. One less than the
    // slots if filling the last slot slows the other requests by more than it adds.
    SlotCount bestConcurrency(const ServiceId&, SlotCount slots) const;

    void observeAnswerBytes(const RouteId&, ByteCount);
    ByteCount expectedAnswerBytes(const RouteId&) const;

private:
    // Geometric moving average.
    class Average {
    public:
        void add(double value);
        double valueOr(double fallback) const;
        unsigned samples() const { return m_samples; }

    private:
        double m_meanLogarithm = 0;
        unsigned m_samples = 0;
    };
    struct Route {
        Average baseline; // In seconds, on hosts without slowdown and with a free slot left.
        Average bytes;
    };
    struct Service {
        Average slowedHost; // Service time on slowed hosts, relative to the baseline times the reported slowdown.
        Average lastSlot; // Service time of requests that filled the last slot, relative to the baseline.
    };

    std::unordered_map<RouteId, Route> m_routes;
    std::unordered_map<ServiceId, Service> m_services;
};

// Returns whether the reported slowdown is large enough for the host to count as slowed.
bool isSlowed(const LoadReport&);

} // namespace dogwoodhall
