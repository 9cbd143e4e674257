#pragma once

#include "dogwoodhall/budget/CallerShares.h"
#include "dogwoodhall/budget/RetryAllowance.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/LogOptions.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dogwoodhall {

// Settings for platforms with a registry, in which upstreams register their endpoints and one document declares routes
// and services. The limits apply to the whole fleet and are set by the platform's operators.
struct RegistrySettings {
    std::map<DataCentreId, RegionId> regions;
    std::vector<NetworkAddress> seeds; // Hosts on which other members may run; the ports are ignored.
    Duration drainGrace = std::chrono::milliseconds(2500); // From SIGTERM until the caller port closes.
    Duration stopGrace = std::chrono::seconds(6); // From SIGTERM until the platform kills the process.
    RetryLimits retries { Fraction(0.2), std::chrono::seconds(10), 0 };
    double healthCallsPerEndpoint = 10; // Per second, for all members together.
    // A cold endpoint may get as many requests in a second as it tolerates times the overage, plus the slack, from all
    // members together.
    double warmUpOverage = 1;
    double warmUpSlack = 0; // Requests.
    // Minimum time between two reads of the registry that return changes, so that changes in quick succession are
    // fetched by one call.
    Duration readPause = std::chrono::milliseconds(150);
    // Entries that disappeared while the registry was unavailable are kept for this long after it recovers, so that
    // running upstreams have time to register again.
    Duration lapseGrace = std::chrono::seconds(2);
    // A change must be in force this long after the registry has acknowledged it; empty if there is no such bound.
    std::optional<Duration> maxConfigurationAge;
    bool spill = false; // Requests leave the data centre by what is known of the room there and elsewhere.
    // Relative to the value of a response in time.
    double linkCostWithinRegion = 12; // Of a megabyte.
    double linkCostBetweenRegions = 100; // Of a megabyte.
    Duration roundTripWithinRegion = std::chrono::milliseconds(3);
    Duration roundTripBetweenRegions = std::chrono::milliseconds(25);
    ByteCount linkCapacityPerSecond; // Capacity of this host's network link; zero if unknown.

    friend bool operator==(const RegistrySettings&, const RegistrySettings&) = default;
};

// The settings file of one process: its identity, its addresses and its resource limits.
struct Settings {
    MemberId member;
    DataCentreId dataCentre;
    NetworkAddress callerAddress; // With port 0 the kernel chooses a port.
    NetworkAddress peerAddress;
    std::optional<NetworkAddress> advertisedPeerAddress; // For other members; by default the bound peerAddress.
    NetworkAddress adminAddress;
    NetworkAddress platformAddress; // Of the configuration service and the host list.
    std::optional<NetworkAddress> traceCollector; // Receives OTLP JSON over HTTP.
    Fraction traceSampling { 0.01 };
    LogOptions log;
    std::uint32_t trafficThreads = 2;
    ByteCount maxHeaderBytes { 16 * 1024 };
    ByteCount maxBodyBytes { 64ULL * 1024 * 1024 };
    Duration slowSenderTimeout = std::chrono::seconds(10);
    std::size_t maxHeaderFields = 4096; // In the head of one request.
    std::size_t maxRequestsAhead = 4; // In progress on one connection.
    ByteCount leastCallerBytesPerSecond { 64 }; // Of a request body, and of a caller that reads its answer.
    ByteCount memoryLimit { 256ULL * 1024 * 1024 }; // Of the process, as the platform states it.
    std::optional<std::size_t> descriptorLimit; // By default the limit of the process (RLIMIT_NOFILE).
    std::optional<ByteCount> callerMemory; // By default a share of memoryLimit.
    std::optional<std::size_t> maxCallerConnections; // By default a share of descriptorLimit.
    ByteCount measuringBytesPerSecond { 14'000 }; // The target for control traffic in docs/CAPACITY.md.
    CallCount measuringCallsPerSecond { 50 };
    ByteCount ticketBytes { 16ULL * 1024 * 1024 }; // Memory for the stored responses of tickets.
    std::optional<RegistrySettings> registry; // If empty, records declare services and endpoints.

    friend bool operator==(const Settings&, const Settings&) = default;
};

} // namespace dogwoodhall
