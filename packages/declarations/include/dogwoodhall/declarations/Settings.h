#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/LogOptions.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <optional>

namespace dogwoodhall {

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

    friend bool operator==(const Settings&, const Settings&) = default;
};

} // namespace dogwoodhall
