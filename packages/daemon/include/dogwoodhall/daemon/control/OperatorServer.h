#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/daemon/control/WhereQuery.h"
#include "dogwoodhall/daemon/homes/BufferedAnswer.h"
#include "dogwoodhall/dispatch/PlacementExplanation.h"
#include "dogwoodhall/exchange/Acceptor.h"
#include "dogwoodhall/http/CallerSessions.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace dogwoodhall {

// The HTTP server on the admin port: /health, /ready, /metrics, /status, /where, /drain and /stop-now. Runs on the
// control thread.
class OperatorServer {
public:
    // Asks a traffic thread where a request would go now.
    using Explain = std::function<asio::awaitable<PlacementExplanation>(WhereQuery)>;

    struct Hooks {
        std::function<bool()> isReady;
        std::function<std::string()> metricsText;
        std::function<std::string()> statusJson;
        std::function<void()> beginDrain;
        std::function<void()> stopNow;
        std::function<void(CallerCloseReason)> callerClosed;
        Explain explain; // Empty if the process cannot say.
    };

    OperatorServer(asio::io_context&, Hooks);

    // Binds and starts to serve. Returns the bound address. Throws std::runtime_error if it cannot listen there.
    NetworkAddress listen(const NetworkAddress&);

private:
    asio::awaitable<void> handle(IncomingRequest, ResponseWriter);
    asio::awaitable<StoredAnswer> answerWhere(std::string target);

    asio::io_context& m_io;
    Hooks m_hooks;
    Acceptor m_acceptor;
    CallerSessions m_sessions;
};

} // namespace dogwoodhall
