#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/dispatch/LoadReport.h"

#include <unordered_map>

namespace dogwoodhall {

// How long requests take, learnt from their answers: the usual time of each route, and how much longer work takes on a
// slowed host and at an endpoint whose last slot it fills. Averages are geometric, so that the few requests that run
// many times longer do not distort them.
class ServiceTimes {
public:
    // `load` is that of the endpoint just before the request was sent.
    void observe(const RouteId&, const ServiceId&, const LoadReport& load, Duration serviceTime);

    // The time that a request of the route is expected to take at an endpoint with this load; `goal` stands in for the
    // route's own history while there is none.
    Duration expected(const RouteId&, const ServiceId&, const LoadReport& load, Duration goal) const;

    // The number of requests at once with which an endpoint with so many slots gets most work done. Less than the slots
    // where the last one slows the others by more than it adds.
    SlotCount bestConcurrency(const ServiceId&, SlotCount slots) const;

    void observeAnswerBytes(const RouteId&, ByteCount);
    ByteCount expectedAnswerBytes(const RouteId&) const;

private:
    // Geometric moving average of ratios or seconds.
    class Average {
    public:
        void add(double value);
        double valueOr(double absent) const;
        unsigned samples() const { return m_samples; }

    private:
        double m_logarithm = 0;
        unsigned m_samples = 0;
    };
    struct Route {
        Average usual; // Seconds, without slowdown or a full endpoint.
        Average bytes;
    };
    struct Service {
        Average slowed; // Time on slowed hosts, relative to what their reports let expect.
        Average full; // The same where the request took the last slot.
    };

    std::unordered_map<RouteId, Route> m_routes;
    std::unordered_map<ServiceId, Service> m_services;
};

// Whether the host is so much slower than usual that it counts as slowed.
bool isSlowed(const LoadReport&);

} // namespace dogwoodhall
