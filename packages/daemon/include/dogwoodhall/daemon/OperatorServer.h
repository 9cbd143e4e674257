#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/exchange/Acceptor.h"
#include "dogwoodhall/http/CallerSession.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace dogwoodhall {

// The operators' HTTP port: /health, /ready, /metrics, /status, /drain and /stop-now. On the control thread.
class OperatorServer {
public:
    struct Hooks {
        std::function<bool()> isReady;
        std::function<std::string()> metricsText;
        std::function<std::string()> statusJson;
        std::function<void()> beginDrain;
        std::function<void()> stopNow;
    };

    OperatorServer(asio::io_context&, Hooks);

    // Binds and starts to serve; gives the bound address. Throws std::runtime_error where it cannot listen there.
    NetworkAddress listen(const NetworkAddress&);

private:
    void startSession(asio::ip::tcp::socket);
    asio::awaitable<void> serve(ConnectionId);
    asio::awaitable<void> handle(IncomingRequest, ResponseWriter);

    asio::io_context& m_io;
    Hooks m_hooks;
    Acceptor m_acceptor;
    std::unordered_map<ConnectionId, std::unique_ptr<CallerSession>> m_sessions;
    std::uint64_t m_nextConnection = 1;
};

} // namespace dogwoodhall
