#pragma once

#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall::bench {

// A service of a deployment, with the sizes of docs/design.md. Entry hosts and endpoints are assigned to the data
// centres round-robin. Two consecutive data centres form a region.
struct Deployment {
    std::string name;
    std::size_t endpoints;
    std::uint64_t slots; // Of each endpoint.
    std::size_t connections; // Maximum for each endpoint.
    Duration withinRegion; // One-way delay, as are all delays.
    Duration betweenRegions = std::chrono::milliseconds(12);
    // Between hosts of one data centre; not in docs/design.md.
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
    bool hasPeaks = false;
    double longShare = 0; // Share of the requests that are long.
    bool isLongDeclared = false;
    bool hasSlowEndpoint = false; // One endpoint is ten times slower in the middle half of the run.
    bool losesMember = false; // A home is lost at 40% of the run.
    bool hasHotRegion = false; // The first region has 1.5 times its share of the load.
    bool splitsRegion = false; // The first region is isolated from 40% to 70% of the run.
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
    std::uint64_t longSlots = 1; // Slots of each endpoint that long work may occupy.
    Duration reportPeriod {}; // If zero, the scenario's period applies.
};

inline constexpr double peakFactor = 1.7;
inline constexpr double longFactor = 40;

// Returns the load relative to the base load. In scenarios with peaks, it rises within 100 ms, stays at the peak for
// 500 ms, falls within 100 ms and stays at the base for 1.3 s.
double loadFactor(const Scenario&, TimePoint);
// Returns the time within [from, to) at peak load, which is all of it if the scenario has no peaks.
Duration timeAtPeak(const Scenario&, TimePoint from, TimePoint to);

} // namespace dogwoodhall::bench
