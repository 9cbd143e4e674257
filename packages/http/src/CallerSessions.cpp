#include "dogwoodhall/http/CallerSessions.h"

#include "dogwoodhall/exchange/EventLoop.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace dogwoodhall {

CallerSessions::CallerSessions(asio::any_io_executor executor, CallerLimits limits, RequestHandler handler,
    std::function<void()> sessionEnded, RequestRejected rejected)
    : m_executor(std::move(executor))
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_sessionEnded(std::move(sessionEnded))
    , m_rejected(std::move(rejected))
{
}

void CallerSessions::serve(asio::ip::tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    const ConnectionId id(m_nextConnection++);
    auto& session = m_sessions[id];
    session = std::make_unique<CallerSession>(std::move(socket), m_limits, m_handler, m_rejected);
    if (m_closesAfterNextResponse)
        session->closeAfterNextResponse();
    asio::co_spawn(m_executor, run(id), rethrowToLoop);
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
    if (m_sessionEnded)
        m_sessionEnded();
}

void CallerSessions::setLimits(const CallerLimits& limits)
{
    if (limits == m_limits)
        return;
    m_limits = limits;
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
        ended += session->endRequestInProgress() ? 1 : 0;
    return ended;
}

} // namespace dogwoodhall
