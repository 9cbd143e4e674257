#pragma once

#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall::bench {

// One service of a deployment, with the sizes of docs/design.md. Entry hosts and endpoints are dealt out to the data
// centres in turn; two neighbouring data centres form a region.
struct Deployment {
    std::string name;
    std::size_t endpoints;
    std::uint64_t slots; // Of each endpoint.
    std::size_t connections; // That each endpoint accepts.
    Duration withinRegion; // One way, as are all delays.
    Duration betweenRegions = std::chrono::milliseconds(12);
    // Not on the design page: between hosts of one data centre.
    Duration withinDataCentre = std::chrono::microseconds(100);
    std::size_t entryHosts = 15;
    std::size_t dataCentres = 6;

    std::size_t dataCentreOfHost(std::size_t host) const { return host % dataCentres; }
    std::size_t dataCentreOfEndpoint(std::size_t endpoint) const { return endpoint % dataCentres; }
    static std::size_t regionOf(std::size_t dataCentre) { return dataCentre / 2; }
    std::uint64_t totalSlots() const { return endpoints * slots; }
    Duration delay(std::size_t from, std::size_t to) const
    {
        if (from == to)
            return withinDataCentre;
        return regionOf(from) == regionOf(to) ? withinRegion : betweenRegions;
    }
};

struct Scenario {
    std::string name;
    bool hasSwing = false;
    double longShare = 0; // Of the requests.
    bool isLongDeclared = false;
    bool hasSlowEndpoint = false; // One endpoint is ten times slower in the middle half of the run.
    bool losesMember = false; // A home is lost at 40% of the run.
    bool hasHotRegion = false; // The first region has 1.5 times its share of the load.
    bool splitsRegion = false; // The first region is cut off from 40% to 70% of the run.
    Duration reportPeriod = std::chrono::milliseconds(500);
};

struct Options {
    std::uint64_t seed = 1;
    double load = 0.85;
    Duration service = std::chrono::milliseconds(5);
    Duration deadline = std::chrono::milliseconds(250);
    Duration duration = std::chrono::seconds(20);
    Duration warmUp = std::chrono::seconds(2);
    std::uint32_t queuePerSlot = 6;
    std::uint64_t leastAllowance = 1;
    std::uint64_t mostAllowance = 4;
    double longWorkShare = 0.5;
    std::uint64_t longSlots = 1; // Of each endpoint, that long work may hold.
    Duration reportPeriod {}; // Zero: the scenario's.
};

inline constexpr double swingFactor = 1.7;
inline constexpr double longFactor = 40;

// The load's course in a swing: up within 100 ms, 500 ms at the peak, down within 100 ms, and 1.3 s at the base.
double loadFactor(const Scenario&, TimePoint);
// Time within [from, to) that lies at the peak; all of it where the scenario has no swing.
Duration timeAtPeak(const Scenario&, TimePoint from, TimePoint to);

} // namespace dogwoodhall::bench
