#include "dogwoodhall/daemon/control/OperatorServer.h"

#include "dogwoodhall/daemon/control/PlacementReport.h"
#include "dogwoodhall/daemon/traffic/HeaderValues.h"
#include "dogwoodhall/exchange/EventLoop.h"

#include <stdexcept>
#include <utility>

namespace dogwoodhall {

namespace {

StoredAnswer makeAnswer(unsigned status, std::string body, std::string contentType = "text/plain")
{
    StoredAnswer answer;
    answer.status = status;
    answer.fields.emplace_back("Content-Type", std::move(contentType));
    answer.body = std::move(body);
    return answer;
}

} // namespace

OperatorServer::OperatorServer(asio::io_context& io, Hooks hooks)
    : m_io(io)
    , m_hooks(std::move(hooks))
    , m_acceptor(io.get_executor())
    , m_sessions(io.get_executor(), CallerLimits {}, operatorShares(),
          [this](
              IncomingRequest request, ResponseWriter writer) { return handle(std::move(request), std::move(writer)); },
          { nullptr, nullptr, m_hooks.callerClosed })
{
}

asio::awaitable<StoredAnswer> OperatorServer::answerWhere(std::string target)
{
    if (!m_hooks.explain)
        co_return makeAnswer(501, "this process has pool homes and does not say where a request would go\n");
    auto query = parseWhereQuery(target);
    if (!query)
        co_return makeAnswer(400, query.error() + "\n");
    const auto explanation = co_await m_hooks.explain(std::move(*query));
    co_return makeAnswer(200, toJson(explanation), "application/json");
}

NetworkAddress OperatorServer::listen(const NetworkAddress& address)
{
    auto bound = m_acceptor.listen(address, PortSharing::Exclusive);
    if (!bound)
        throw std::runtime_error("admin port: " + bound.error());
    spawnPermanent(m_io.get_executor(), [this] {
        return m_acceptor.run([this](asio::ip::tcp::socket socket) { m_sessions.serve(std::move(socket)); },
            [this] { return m_sessions.hasRoomForMore(); });
    });
    return *bound;
}

asio::awaitable<void> OperatorServer::handle(IncomingRequest request, ResponseWriter writer)
{
    const std::string call = request.head.method + " " + request.head.target;
    if (call == "GET /health") {
        co_await writeStored(writer, makeAnswer(200, "ok\n"));
    } else if (call == "GET /ready") {
        const bool isReady = m_hooks.isReady();
        co_await writeStored(writer, makeAnswer(isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n"));
    } else if (call == "GET /metrics") {
        co_await writeStored(writer, makeAnswer(200, m_hooks.metricsText(), "text/plain; version=0.0.4"));
    } else if (call == "GET /status") {
        co_await writeStored(writer, makeAnswer(200, m_hooks.statusJson(), "application/json"));
    } else if (request.head.method == "GET" && pathOf(request.head.target) == "/where") {
        std::string target = request.head.target;
        const auto answer = co_await answerWhere(std::move(target));
        co_await writeStored(writer, answer);
    } else if (call == "POST /drain") {
        m_hooks.beginDrain();
        co_await writeStored(writer, makeAnswer(202, "draining\n"));
    } else if (call == "POST /stop-now") {
        co_await writeStored(writer, makeAnswer(202, "stopping\n"));
        m_hooks.stopNow();
    } else {
        co_await writeStored(writer, makeAnswer(404, "not found\n"));
    }
}

} // namespace dogwoodhall
