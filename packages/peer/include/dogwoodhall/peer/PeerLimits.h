#pragma once

#include "dogwoodhall/core/StrongId.h"
#include "dogwoodhall/core/Units.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

namespace dogwoodhall {

using StreamId = StrongId<struct StreamTag, std::int32_t>;

// Bounds on a connection between daemons and on each of its streams.
struct PeerLimits {
    Duration connectTimeout = std::chrono::milliseconds(500);
    // A connection with open streams that is silent for this long is sent a PING.
    Duration pingInterval = std::chrono::milliseconds(500);
    // A client closes a connection on which nothing arrives for this long after a PING.
    Duration pingTimeout = std::chrono::milliseconds(1500);
    // The same for a server. Longer, since closing the connection of a paused caller cancels its requests.
    Duration serverPingTimeout = std::chrono::seconds(30);
    ByteCount headerBytes { 16 * 1024 }; // Names and values of one head.
    ByteCount streamWindow { 64 * 1024 }; // Received and not yet read, for each stream.
    // Received and not yet read, for all streams of a connection: 256 stalled streams do not block the others.
    ByteCount connectionWindow { 16 * 1024 * 1024 };
    ByteCount sendBuffer { 32 * 1024 }; // Queued and not yet sent, for each stream.
    std::uint32_t concurrentStreams = 4096; // That a server accepts on one connection.
};

// Counts since the start. Written by the owning thread, readable from any.
struct PeerCounters {
    std::atomic<std::uint64_t> connectionsOpened { 0 };
    std::atomic<std::uint64_t> addressesRejected { 0 };
    std::atomic<std::uint64_t> protocolErrors { 0 }; // Malformed frames and messages, and data beyond a window.
    std::atomic<std::uint64_t> streamsRefused { 0 }; // Above the limit, or during shutdown.
    std::atomic<std::uint64_t> oversizedHeads { 0 };
    std::atomic<std::uint64_t> silentConnections { 0 }; // Closed because a PING was not answered.
};

using PeerLog = std::function<void(std::string_view)>;

} // namespace dogwoodhall
