#pragma once

#include "dogwoodhall/core/StrongId.h"
#include "dogwoodhall/core/Units.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

namespace dogwoodhall {

using StreamId = StrongId<struct StreamTag, std::int32_t>;

// Limits on a connection between daemons and on each of its streams.
struct PeerLimits {
    Duration connectTimeout = std::chrono::milliseconds(500);
    // A PING is sent on a connection with open streams after this long without received data.
    Duration pingInterval = std::chrono::milliseconds(500);
    // A client closes a connection if nothing arrives within this time after a PING.
    Duration pingTimeout = std::chrono::milliseconds(1500);
    // As above, for a server. Longer, since closing the connection of a paused caller cancels its requests.
    Duration serverPingTimeout = std::chrono::seconds(30);
    ByteCount headerBytes { 16 * 1024 }; // Total size of field names and values in one head.
    ByteCount streamWindow { 64 * 1024 }; // Received but not yet read, per stream.
    // Received but not yet read, over all streams of a connection. Lets 256 streams stall without blocking others.
    ByteCount connectionWindow { 16 * 1024 * 1024 };
    ByteCount sendBuffer { 32 * 1024 }; // Queued but not yet sent, per stream.
    std::uint32_t concurrentStreams = 4096; // Accepted by a server on one connection.
};

// Counters since start-up. Written by the owning thread, readable from any thread.
struct PeerCounters {
    std::atomic<std::uint64_t> connectionsOpened { 0 };
    std::atomic<std::uint64_t> addressesRejected { 0 };
    std::atomic<std::uint64_t> protocolErrors { 0 }; // Malformed frames or messages, or flow-control violations.
    std::atomic<std::uint64_t> streamsRefused { 0 }; // Over the stream limit, or during shutdown.
    std::atomic<std::uint64_t> oversizedHeads { 0 };
    std::atomic<std::uint64_t> silentConnections { 0 }; // Closed because a PING was not answered.
};

using PeerLog = std::function<void(std::string_view)>;

} // namespace dogwoodhall
