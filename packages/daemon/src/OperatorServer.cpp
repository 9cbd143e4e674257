#include "dogwoodhall/daemon/OperatorServer.h"

#include "dogwoodhall/daemon/BufferedAnswer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

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
    , m_acceptor(io)
{
}

NetworkAddress OperatorServer::listen(const NetworkAddress& address)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    asio::co_spawn(m_io, accept(), asio::detached);
    return { address.ip, m_acceptor.local_endpoint().port() };
}

asio::awaitable<void> OperatorServer::accept()
{
    while (true) {
        auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        const ConnectionId id(m_nextConnection++);
        m_sessions.emplace(id,
            std::make_unique<CallerSession>(
                std::move(socket), CallerLimits {}, [this](IncomingRequest request, ResponseWriter writer) {
                    return handle(std::move(request), std::move(writer));
                }));
        asio::co_spawn(m_io, serve(id), asio::detached);
    }
}

asio::awaitable<void> OperatorServer::serve(ConnectionId id)
{
    co_await m_sessions.at(id)->run();
    m_sessions.erase(id);
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
