#include "dogwoodhall/budget/CallerAccount.h"

#include <algorithm>
#include <chrono>

namespace dogwoodhall {

namespace {

// A connection without an answer that is younger goes after idle ones, so that a newcomer can send its request.
constexpr Duration youngAge = std::chrono::seconds(1);
// A shorter wait, or a shorter time without one, says nothing about the caller.
constexpr Duration shortWait = std::chrono::seconds(1);
// A trim takes milliseconds; the memory may be needed again at once.
constexpr Duration freedTime = std::chrono::seconds(2);
constexpr Duration trimPause = std::chrono::seconds(10);
// Less is not worth the time of a trim.
constexpr ByteCount minTrimBytes { 8ULL * 1024 * 1024 };
constexpr std::uint64_t trimShareDivisor = 4;
// Ranks of a later kind never reach those of an earlier one.
constexpr double kindStep = 1e15;

std::size_t indexOf(CallerMemory kind) { return static_cast<std::size_t>(kind); }

bool isUnsent(CallerStage stage) { return stage == CallerStage::Head || stage == CallerStage::Body; }

} // namespace

std::string_view toString(CallerCloseReason reason)
{
    switch (reason) {
    case CallerCloseReason::Memory:
        return "memory";
    case CallerCloseReason::Connections:
        return "connections";
    case CallerCloseReason::SlowBody:
        return "slow-body";
    case CallerCloseReason::SlowAnswer:
        break;
    }
    return "slow-answer";
}

CallerAccount::CallerAccount(const CallerShares& shares)
    : m_shares(shares)
{
}

ByteCount CallerAccount::Connection::total() const
{
    ByteCount sum;
    for (const auto bytes : held)
        sum += bytes;
    return sum;
}

void CallerAccount::open(ConnectionId id, TimePoint now)
{
    Connection connection;
    connection.stageSince = connection.requestSince = connection.movedAt = connection.waitChanged = now;
    m_connections.emplace(id, connection);
    ++m_open;
}

void CallerAccount::close(ConnectionId id)
{
    markClosed(id);
    m_connections.erase(id);
}

void CallerAccount::markClosed(ConnectionId id)
{
    auto& connection = at(id);
    if (connection.isClosed)
        return;
    connection.isClosed = true;
    m_held -= connection.total();
    m_unread -= connection.held[indexOf(CallerMemory::Unread)];
    --m_open;
}

void CallerAccount::enter(ConnectionId id, CallerStage stage, TimePoint now)
{
    auto& connection = at(id);
    connection.stage = stage;
    connection.stageSince = now;
    if (stage == CallerStage::Head || stage == CallerStage::Idle)
        connection.requestSince = now;
    if (stage == CallerStage::Idle) {
        const auto own = connection.held[indexOf(CallerMemory::Connection)];
        if (!connection.isClosed) {
            m_held -= connection.total() - own;
            m_unread -= connection.held[indexOf(CallerMemory::Unread)];
        }
        connection.held = {};
        connection.held[indexOf(CallerMemory::Connection)] = own;
    }
    restartWindow(connection, now);
}

void CallerAccount::hold(ConnectionId id, CallerMemory kind, ByteCount bytes)
{
    auto& connection = at(id);
    auto& held = connection.held[indexOf(kind)];
    if (!connection.isClosed) {
        m_held -= held;
        m_held += bytes;
        if (kind == CallerMemory::Unread)
            m_unread = m_unread - held + bytes;
        m_mostHeld = std::max(m_mostHeld, heldInProcess());
    }
    held = bytes;
}

void CallerAccount::endWait(ConnectionId id, ByteCount bytes, TimePoint now)
{
    auto& connection = at(id);
    connection.isWaiting = false;
    connection.waitChanged = now;
    if (bytes.count() == 0)
        return;
    connection.movedAt = now;
    connection.windowBytes += bytes;
    const auto window = connection.stage == CallerStage::Answer ? m_pace.answerWindow : m_pace.bodyWindow;
    if (now - connection.windowSince >= window && !isSlow(connection, now))
        restartWindow(connection, now);
}

void CallerAccount::beginWait(ConnectionId id, TimePoint now)
{
    auto& connection = at(id);
    if (now - connection.waitChanged >= shortWait)
        restartWindow(connection, now);
    connection.isWaiting = true;
    connection.waitChanged = now;
}

void CallerAccount::answered(ConnectionId id) { at(id).hasAnswered = true; }

void CallerAccount::restartWindow(Connection& connection, TimePoint now) const
{
    connection.windowSince = now;
    connection.windowBytes = {};
    connection.movedAt = now;
}

bool CallerAccount::isSlow(const Connection& connection, TimePoint now) const
{
    const bool isAnswer = connection.stage == CallerStage::Answer;
    const auto window = isAnswer ? m_pace.answerWindow : m_pace.bodyWindow;
    const auto time = now - connection.windowSince;
    const double least = static_cast<double>(m_pace.bytesPerSecond.count()) * toSeconds(time);
    return time >= window && static_cast<double>(connection.windowBytes.count()) < least;
}

std::vector<CallerAccount::Choice> CallerAccount::findSlow(TimePoint now) const
{
    std::vector<Choice> slow;
    for (const auto& [id, connection] : m_connections) {
        if (connection.isClosed || !connection.isWaiting || !isSlow(connection, now))
            continue;
        const bool isAnswer = connection.stage == CallerStage::Answer;
        slow.push_back({ id, isAnswer ? CallerCloseReason::SlowAnswer : CallerCloseReason::SlowBody });
    }
    return slow;
}

std::vector<ConnectionId> CallerAccount::findWaiting(TimePoint now) const
{
    std::vector<ConnectionId> waiting;
    for (const auto& [id, connection] : m_connections) {
        const bool holds = connection.stage == CallerStage::Sent || connection.stage == CallerStage::Answer;
        if (!connection.isClosed && holds && now - connection.stageSince >= shortWait)
            waiting.push_back(id);
    }
    return waiting;
}

// Byte-seconds of what has not been sent to an endpoint; then what others hold. Negative if it may not be closed.
double CallerAccount::memoryRank(const Connection& connection, TimePoint now) const
{
    const auto bytes = static_cast<double>(connection.total().count() + 1);
    if (isUnsent(connection.stage) || connection.stage == CallerStage::Closing)
        return 2 * kindStep + bytes * (1 + toMilliseconds(now - connection.requestSince));
    if (connection.stage == CallerStage::Idle)
        return kindStep + bytes;
    const bool isStalled = connection.isWaiting && now - connection.movedAt >= shortWait;
    if (connection.stage == CallerStage::Answer && isStalled)
        return bytes * toMilliseconds(now - connection.movedAt);
    return -1;
}

double CallerAccount::connectionRank(const Connection& connection, TimePoint now) const
{
    const double idle = 1 + toMilliseconds(now - connection.stageSince);
    if (connection.stage == CallerStage::Closing)
        return 4 * kindStep + idle;
    if (isUnsent(connection.stage) || (connection.stage == CallerStage::Idle && !connection.hasAnswered)) {
        const Duration age = now - connection.requestSince;
        return (age >= youngAge ? 3 : 1) * kindStep + toMilliseconds(age);
    }
    if (connection.stage == CallerStage::Idle)
        return 2 * kindStep + idle;
    const bool isStalled = connection.isWaiting && now - connection.movedAt >= shortWait;
    if (connection.stage == CallerStage::Answer && isStalled)
        return toMilliseconds(now - connection.movedAt);
    return -1;
}

std::optional<CallerAccount::Choice> CallerAccount::chooseExcess(TimePoint now) const
{
    const bool isShortOfConnections = m_open > m_shares.connections;
    if (!isShortOfConnections && !isShortOfMemory())
        return std::nullopt;
    const auto reason = isShortOfConnections ? CallerCloseReason::Connections : CallerCloseReason::Memory;
    std::optional<Choice> choice;
    double best = -1;
    for (const auto& [id, connection] : m_connections) {
        if (connection.isClosed)
            continue;
        const double rank = isShortOfConnections ? connectionRank(connection, now) : memoryRank(connection, now);
        if (rank > best) {
            best = rank;
            choice = Choice { id, reason };
        }
    }
    return choice;
}

bool CallerAccount::awaitsTrim() const
{
    const ByteCount least = std::max(minTrimBytes, ByteCount(m_shares.memory.count() / trimShareDivisor));
    return m_mostHeld.count() >= 2 * heldInProcess().count() && m_mostHeld >= heldInProcess() + least;
}

bool CallerAccount::shouldTrim(TimePoint now)
{
    if (!awaitsTrim()) {
        m_freedSince.reset();
        return false;
    }
    if (!m_freedSince)
        m_freedSince = now;
    const bool hasJustTrimmed = m_trimmedAt && now - *m_trimmedAt < trimPause;
    if (now - *m_freedSince < freedTime || hasJustTrimmed)
        return false;
    m_mostHeld = heldInProcess();
    m_trimmedAt = now;
    m_freedSince.reset();
    return true;
}

} // namespace dogwoodhall
