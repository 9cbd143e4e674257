#pragma once

#include "dogwoodhall/budget/CallerAccount.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/http/CallerSession.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

namespace dogwoodhall {

// Serves the caller connections of one server, each until it closes. An exception of the handler closes its connection
// and is passed on; see RethrowToLoop. Closes connections when callers hold more than their shares. Must outlive its
// connections. Not thread-safe; runs on the executor's thread.
class CallerSessions {
public:
    // Each hook may be empty.
    struct Hooks {
        std::function<void()> sessionEnded; // After each connection.
        RequestRejected rejected;
        std::function<void(CallerCloseReason)> closed; // A connection is closed for want of room, or as it is too slow.
        RetryIfUncertain retryIfUncertain {};
    };

    CallerSessions(asio::any_io_executor, CallerLimits, const CallerShares&, RequestHandler, Hooks);
    // For a server that does not limit its callers' shares.
    CallerSessions(asio::any_io_executor, CallerLimits, RequestHandler, std::function<void()> sessionEnded = nullptr);

    void serve(asio::ip::tcp::socket);
    // False while as many connections are closing as may be beside the share, so that their descriptors are released
    // before others are accepted.
    bool hasRoomForMore() const { return m_account.closing() < 2 * m_maxLingering; }
    // Closes each connection after its request in progress, or immediately if it is idle.
    void stopAfterCurrentRequests();
    // Closes each connection, including those accepted later, after its next response; see CallerSession.
    void closeAfterNextResponses();
    // Responds to the requests in progress whose responses have not begun, and returns their number; see CallerSession.
    std::size_t endRequestsInProgress();
    // Applies to open connections too; see CallerSession.
    void setLimits(const CallerLimits&);
    bool empty() const { return m_sessions.empty(); }
    const CallerAccount& account() const { return m_account; }

private:
    asio::awaitable<void> run(ConnectionId);
    void end(ConnectionId);
    // Closes connections until the account is not short or none may be closed.
    void relieve();
    void close(const CallerAccount::Choice&);
    // Runs while there are connections, or memory to return.
    void armSweepTimer();
    void sweep();

    asio::any_io_executor m_executor;
    CallerLimits m_limits;
    RequestHandler m_handler;
    Hooks m_hooks;
    CallerAccount m_account; // Outlives the sessions.
    std::size_t m_maxLingering; // Evicted connections. As many again may be closing without lingering.
    std::unordered_map<ConnectionId, std::unique_ptr<CallerSession>> m_sessions;
    std::uint64_t m_nextConnection = 1;
    bool m_closesAfterNextResponse = false;
    asio::steady_timer m_sweepTimer;
    bool m_isSweepArmed = false;
};

} // namespace dogwoodhall
