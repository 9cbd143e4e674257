#include "dogwoodhall/http/CallerSessions.h"

#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/http/CallerCharge.h"

#include "HeapTrim.h"

#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <limits>
#include <utility>

namespace dogwoodhall {

namespace {

// Connections that are closing are beside the share: no more than this part of it waits for callers to stop sending.
constexpr std::size_t lingeringDivisor = 4;
// Bounds what the kernel keeps of a body that an endpoint reads slowly: it cannot be freed while the request may run.
constexpr int receiveBufferBytes = 256 * 1024;
constexpr int kernelBufferFactor = 2; // Linux doubles the size that is set.
constexpr auto sweepInterval = std::chrono::milliseconds(500);
// Longer than the deadlines of callers, 15 s.
constexpr Duration minBodyWindow = std::chrono::seconds(30);
constexpr Duration minAnswerWindow = std::chrono::seconds(60);

CallerShares unlimitedShares()
{
    CallerShares shares;
    shares.memory = ByteCount(std::numeric_limits<std::uint64_t>::max());
    shares.connections = std::numeric_limits<std::size_t>::max();
    return shares;
}

// A caller that keeps to the limits is never slower.
CallerPace paceOf(const CallerLimits& limits)
{
    CallerPace pace;
    pace.bytesPerSecond = limits.leastBytesPerSecond;
    pace.bodyWindow = std::max<Duration>(limits.headerTimeout, minBodyWindow);
    pace.answerWindow = std::max<Duration>(limits.idleTimeout, minAnswerWindow);
    return pace;
}

} // namespace

CallerSessions::CallerSessions(asio::any_io_executor executor, CallerLimits limits, const CallerShares& shares,
    RequestHandler handler, Hooks hooks)
    : m_executor(std::move(executor))
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_hooks(std::move(hooks))
    , m_account(shares)
    , m_maxLingering(shares.connections / lingeringDivisor)
    , m_sweepTimer(m_executor)
{
    m_account.setPace(paceOf(m_limits));
}

CallerSessions::CallerSessions(
    asio::any_io_executor executor, CallerLimits limits, RequestHandler handler, std::function<void()> sessionEnded)
    : CallerSessions(std::move(executor), limits, unlimitedShares(), std::move(handler),
        Hooks { std::move(sessionEnded), nullptr, nullptr })
{
}

void CallerSessions::serve(asio::ip::tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes / kernelBufferFactor), ec);
    const ConnectionId id(m_nextConnection++);
    CallerSessionHooks hooks { m_hooks.rejected, m_hooks.retryIfUncertain, [this] { relieve(); } };
    auto& session = m_sessions[id];
    session = std::make_unique<CallerSession>(std::move(socket), m_limits, m_handler, std::move(hooks), m_account, id);
    if (m_closesAfterNextResponse)
        session->closeAfterNextResponse();
    asio::co_spawn(m_executor, run(id), rethrowToLoop);
    relieve();
    armSweepTimer();
}

asio::awaitable<void> CallerSessions::run(ConnectionId id)
{
    // Also after an exception: a session left in the table would keep its connection open and a drain waiting.
    struct Guard {
        CallerSessions& sessions;
        ConnectionId id;
        ~Guard() { sessions.end(id); }
    } guard { *this, id };
    co_await m_sessions.at(id)->run();
}

void CallerSessions::end(ConnectionId id)
{
    m_sessions.erase(id);
    if (m_sessions.empty() && !m_account.awaitsTrim())
        m_sweepTimer.cancel();
    if (m_hooks.sessionEnded)
        m_hooks.sessionEnded();
}

void CallerSessions::relieve()
{
    while (const auto choice = m_account.chooseExcess(callerAccountNow()))
        close(*choice);
}

void CallerSessions::close(const CallerAccount::Choice& choice)
{
    m_account.markClosed(choice.connection);
    if (m_hooks.closed)
        m_hooks.closed(choice.reason);
    auto& session = *m_sessions.at(choice.connection);
    const bool isSlow = choice.reason == CallerCloseReason::SlowBody || choice.reason == CallerCloseReason::SlowAnswer;
    if (isSlow)
        session.endSlowTransfer();
    else
        session.evict(m_account.closing() <= m_maxLingering);
}

void CallerSessions::armSweepTimer()
{
    if (std::exchange(m_isSweepArmed, true))
        return;
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([this](boost::system::error_code ec) {
        m_isSweepArmed = false;
        if (!ec)
            sweep();
        if (!m_sessions.empty() || m_account.awaitsTrim())
            armSweepTimer();
    });
}

void CallerSessions::sweep()
{
    const auto now = callerAccountNow();
    for (const auto& choice : m_account.findSlow(now))
        close(choice);
    for (const auto id : m_account.findWaiting(now))
        m_sessions.at(id)->chargeUnread();
    for (auto& [id, session] : m_sessions)
        session->abortIfEvicted();
    trimHeap(m_account, now);
}

void CallerSessions::setLimits(const CallerLimits& limits)
{
    if (limits == m_limits)
        return;
    m_limits = limits;
    m_account.setPace(paceOf(limits));
    for (auto& [id, session] : m_sessions)
        session->setLimits(limits);
}

void CallerSessions::closeAfterNextResponses()
{
    m_closesAfterNextResponse = true;
    for (auto& [id, session] : m_sessions)
        session->closeAfterNextResponse();
}

void CallerSessions::stopAfterCurrentRequests()
{
    for (auto& [id, session] : m_sessions)
        session->stopAfterCurrentRequest();
}

std::size_t CallerSessions::endRequestsInProgress()
{
    std::size_t ended = 0;
    for (auto& [id, session] : m_sessions)
        ended += session->endRequestsInProgress();
    return ended;
}

} // namespace dogwoodhall
