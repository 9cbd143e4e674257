#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/http/CallerSession.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

namespace dogwoodhall {

// Serves the caller connections of one server, each until it closes. An exception of the handler closes its connection
// and is passed on; see RethrowToLoop. Must outlive its connections. Not thread-safe;
// runs on the executor's thread.
class CallerSessions {
public:
    // `sessionEnded` is called after each connection ends. Both `sessionEnded` and `rejected` may be empty.
    CallerSessions(asio::any_io_executor, CallerLimits, RequestHandler, std::function<void()> sessionEnded = nullptr,
        RequestRejected rejected = nullptr);

    void serve(asio::ip::tcp::socket);
    // Closes each connection after its request in progress, or immediately if it is idle.
    void stopAfterCurrentRequests();
    // Closes each connection, including those accepted later, after its next response; see CallerSession.
    void closeAfterNextResponses();
    // Responds to the requests in progress whose responses have not begun, and returns their number; see CallerSession.
    std::size_t endRequestsInProgress();
    // Applies to open connections too; see CallerSession.
    void setLimits(const CallerLimits&);
    bool empty() const { return m_sessions.empty(); }

private:
    asio::awaitable<void> run(ConnectionId);
    void end(ConnectionId);

    asio::any_io_executor m_executor;
    CallerLimits m_limits;
    RequestHandler m_handler;
    std::function<void()> m_sessionEnded;
    RequestRejected m_rejected;
    std::unordered_map<ConnectionId, std::unique_ptr<CallerSession>> m_sessions;
    std::uint64_t m_nextConnection = 1;
    bool m_closesAfterNextResponse = false;
};

} // namespace dogwoodhall
