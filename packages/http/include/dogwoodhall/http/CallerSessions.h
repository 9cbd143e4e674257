#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/http/CallerSession.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace dogwoodhall {

// The callers' connections of one server, each served until it ends. Must outlive the runs of its connections. Not
// thread-safe; runs on the executor's thread.
class CallerSessions {
public:
    // `sessionEnded` is called after each connection that has ended; it and `rejected` may be empty.
    CallerSessions(asio::any_io_executor, CallerLimits, RequestHandler, std::function<void()> sessionEnded = nullptr,
        RequestRejected rejected = nullptr);

    void serve(asio::ip::tcp::socket);
    // Ends each connection after its request in progress, or at once where it is idle.
    void stopAfterCurrentRequests();
    // Ends each connection with its next answer, also those that are accepted from now on; see CallerSession.
    void closeAfterNextAnswers();
    // For connections accepted from now on.
    void setLimits(const CallerLimits& limits) { m_limits = limits; }
    bool empty() const { return m_sessions.empty(); }

private:
    asio::awaitable<void> run(ConnectionId);

    asio::any_io_executor m_executor;
    CallerLimits m_limits;
    RequestHandler m_handler;
    std::function<void()> m_sessionEnded;
    RequestRejected m_rejected;
    std::unordered_map<ConnectionId, std::unique_ptr<CallerSession>> m_sessions;
    std::uint64_t m_nextConnection = 1;
    bool m_isClosing = false;
};

} // namespace dogwoodhall
