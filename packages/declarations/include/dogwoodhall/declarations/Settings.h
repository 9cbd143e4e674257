#pragma once

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

// How this process works where the platform keeps a registry: upstreams register their endpoints there, and routes and
// services are one document. Bounds are those that the platform's operators state for the whole fleet.
struct RegistrySettings {
    std::map<DataCentreId, RegionId> regions;
    std::vector<NetworkAddress> seeds; // Addresses of hosts where other members may run; the ports are not used.
    Duration drainGrace = std::chrono::milliseconds(2500); // From SIGTERM until the caller port closes.
    Duration stopGrace = std::chrono::seconds(6); // From SIGTERM until the process is killed.
    RetryLimits retries { Fraction(0.2), std::chrono::seconds(10), 0 };
    double healthCallsPerEndpoint = 10; // A second, of all members together.
    // Between reads of the registry that bring news, so that changes in quick succession take one call.
    Duration readPause = std::chrono::milliseconds(150);
    // Entries that vanish while the registry was away are kept for this long after its return: live upstreams are back.
    Duration lapseGrace = std::chrono::seconds(2);
    ByteCount linkPerSecond; // What this host's link carries; zero where it is not stated.

    friend bool operator==(const RegistrySettings&, const RegistrySettings&) = default;
};

// What one process reads from its settings file: who it is, where it listens and what it may spend.
struct Settings {
    MemberId member;
    DataCentreId dataCentre;
    NetworkAddress callerAddress; // Port 0 lets the kernel choose.
    NetworkAddress peerAddress;
    std::optional<NetworkAddress> advertisedPeerAddress; // Where other members connect; empty: peerAddress as bound.
    NetworkAddress adminAddress;
    NetworkAddress platformAddress; // Configuration service and host list.
    std::optional<NetworkAddress> traceCollector; // OTLP JSON over HTTP.
    Fraction traceSampling { 0.01 };
    LogOptions log;
    std::uint32_t trafficThreads = 2;
    ByteCount maxHeaderBytes { 16 * 1024 };
    ByteCount maxBodyBytes { 64ULL * 1024 * 1024 };
    Duration slowSenderTimeout = std::chrono::seconds(10);
    ByteCount measuringBytesPerSecond { 14'000 }; // The control traffic target of docs/CAPACITY.md.
    CallCount measuringCallsPerSecond { 50 };
    ByteCount ticketBytes { 16ULL * 1024 * 1024 }; // Memory for the kept answers of tickets.
    std::optional<RegistrySettings> registry; // Empty: services and endpoints are declared in records.

    friend bool operator==(const Settings&, const Settings&) = default;
};

} // namespace dogwoodhall
