#pragma once

#include "dogwoodhall/budget/CallerShares.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

// What a caller's connection is at, and with it what closing the connection costs its caller.
enum class CallerStage : std::uint8_t {
    Idle, // No byte of a request has been read.
    Head, // Part of a head has been read.
    Body, // The body is being read, and no endpoint has received the request.
    Sent, // An endpoint may run the request.
    Answer, // The answer is being written.
    Closing, // The last answer has been written.
};

// What memory is held for.
enum class CallerMemory : std::uint8_t {
    Connection, // Connection and read buffer.
    Head,
    Kept, // Body kept for a repeat, and answer read ahead.
    Unread, // Received by the kernel and not read.
    Last = Unread,
};

enum class CallerCloseReason : std::uint8_t {
    Memory,
    Connections,
    SlowBody,
    SlowAnswer,
    Last = SlowAnswer,
};

inline constexpr std::size_t callerCloseReasonCount = static_cast<std::size_t>(CallerCloseReason::Last) + 1;

// Least pace of a body and of the reading of an answer, over a window.
struct CallerPace {
    ByteCount bytesPerSecond { 64 };
    Duration bodyWindow = std::chrono::seconds(10);
    Duration answerWindow = std::chrono::seconds(60);
};

// Accounts for the memory that a process keeps for callers and for their connections, and decides which connection goes
// first when it runs short. Each traffic thread and the operators' port have an account of their own. Not thread-safe.
class CallerAccount {
public:
    explicit CallerAccount(const CallerShares&);

    void setPace(const CallerPace& pace) { m_pace = pace; }

    void open(ConnectionId, TimePoint now);
    void close(ConnectionId);
    // The connection is being closed: it is not chosen again, and what it holds counts as free.
    void markClosed(ConnectionId);

    // A stage starts anew each time; Head starts the age of a request, and Idle frees what was held for the last one.
    void enter(ConnectionId, CallerStage, TimePoint now);
    // Replaces what the connection holds of this kind.
    void hold(ConnectionId, CallerMemory, ByteCount);
    // The process waits for the caller: for bytes of a body, or for room for an answer. A window of the pace begins
    // after a time in which it did not wait.
    void beginWait(ConnectionId, TimePoint now);
    // The caller has sent these bytes of a body, or there was room for these bytes of an answer.
    void endWait(ConnectionId, ByteCount, TimePoint now);
    // A request of the connection has been answered.
    void answered(ConnectionId);

    struct Choice {
        ConnectionId connection;
        CallerCloseReason reason = CallerCloseReason::Memory;
    };
    // The connection to close next if the account is short. Of those whose request no endpoint has received, the one
    // that has held most memory for longest; then idle ones, those first that never had an answer; then those that do
    // not read their answer. A connection whose request an endpoint may run is never chosen. Empty if the account is
    // not short, or if none may be closed.
    std::optional<Choice> chooseExcess(TimePoint now) const;
    // Connections slower than the least pace.
    std::vector<Choice> findSlow(TimePoint now) const;
    // Connections that have been at a request or an answer for long enough to look at what the kernel holds for them.
    std::vector<ConnectionId> findWaiting(TimePoint now) const;

    // True if the account is full and no connection may be closed for another one.
    bool isShortOfMemory() const { return m_held > m_shares.memory; }
    // True while there is memory for requests sent ahead: a connection with one that an endpoint may run is not chosen,
    // so that half of the share is left for others.
    bool hasRoomAhead() const { return m_held.count() <= m_shares.memory.count() / 2; }
    ByteCount held() const { return m_held; }
    std::size_t connections() const { return m_connections.size(); }
    std::size_t closing() const { return m_connections.size() - m_open; } // Of connections().

    // True while much of what was held has been freed and no trim has followed.
    bool awaitsTrim() const;
    // True once when that has lasted for some time. To be called regularly.
    bool shouldTrim(TimePoint now);

private:
    struct Connection {
        CallerStage stage = CallerStage::Idle;
        TimePoint stageSince;
        TimePoint requestSince;
        std::array<ByteCount, static_cast<std::size_t>(CallerMemory::Last) + 1> held {};
        bool isClosed = false;
        bool isWaiting = false;
        bool hasAnswered = false;
        TimePoint waitChanged; // When isWaiting last changed.
        TimePoint windowSince;
        TimePoint movedAt;
        ByteCount windowBytes;

        ByteCount total() const;
    };

    // What a trim could return: not what the kernel holds.
    ByteCount heldInProcess() const { return m_held - m_unread; }
    Connection& at(ConnectionId id) { return m_connections.at(id); }
    void restartWindow(Connection&, TimePoint now) const;
    bool isSlow(const Connection&, TimePoint now) const;
    double memoryRank(const Connection&, TimePoint now) const;
    double connectionRank(const Connection&, TimePoint now) const;

    CallerShares m_shares;
    CallerPace m_pace;
    std::unordered_map<ConnectionId, Connection> m_connections;
    ByteCount m_held; // Of connections that are not closed.
    std::size_t m_open = 0;
    ByteCount m_unread; // Part of m_held.
    ByteCount m_mostHeld; // Of heldInProcess(), since the last trim.
    std::optional<TimePoint> m_freedSince; // While awaitsTrim().
    std::optional<TimePoint> m_trimmedAt;
};

std::string_view toString(CallerCloseReason);

} // namespace dogwoodhall
