#include "Clients.h"

#include "RequestText.h"
#include "Sockets.h"

#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/exchange/UseTuple.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace dogwoodhall::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr int deadlineMs = 2000;
// Bounds the wait for a paused daemon, which does not answer within the deadline.
constexpr std::chrono::milliseconds responseTimeout { deadlineMs + 1000 };
constexpr std::chrono::milliseconds connectTimeout { 1000 };
// Long enough that each piece arrives by itself.
constexpr std::chrono::milliseconds pauseBetweenPieces { 2 };
constexpr std::size_t maxDenialBytes = 100;

} // namespace

class Clients::Connection {
public:
    Connection(asio::io_context& io, std::size_t daemon, std::uint64_t incarnation)
        : stream(io)
        , daemon(daemon)
        , incarnation(incarnation)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::size_t daemon;
    std::uint64_t incarnation;
    bool isReusable = true;
};

Clients::Clients(asio::io_context& io, Ledger& ledger, std::uint64_t seed, std::size_t maxPauseMs)
    : m_io(io)
    , m_ledger(ledger)
    , m_random(seed)
    , m_maxPauseMs(maxPauseMs)
{
}

void Clients::setTarget(std::size_t daemon, Target target)
{
    m_targets.resize(std::max(m_targets.size(), daemon + 1));
    m_targets[daemon] = target;
}

void Clients::start(std::size_t clients)
{
    m_activeClients = clients;
    for (std::size_t n = 0; n < clients; ++n)
        asio::co_spawn(m_io, run(n), asio::detached);
}

void Clients::stop(std::function<void()> onStopped)
{
    m_isStopping = true;
    m_onStopped = std::move(onStopped);
    if (m_activeClients == 0)
        m_onStopped();
}

asio::awaitable<void> Clients::run(std::size_t client)
{
    const std::size_t daemon = client % m_targets.size();
    std::optional<Connection> connection;
    asio::steady_timer timer(m_io);
    for (std::uint64_t n = 0; !m_isStopping; ++n) {
        timer.expires_after(std::chrono::milliseconds(1 + randomBelow(m_maxPauseMs)));
        co_await timer.async_wait(useTuple);
        if (!connection || !connection->isReusable) {
            const auto target = m_targets[daemon];
            connection.emplace(m_io, daemon, target.incarnation);
            connection->stream.expires_after(connectTimeout);
            const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), target.address.port);
            auto [ec] = co_await connection->stream.async_connect(endpoint, useTuple);
            connection->isReusable = !ec;
            if (ec)
                continue;
            closeOnExec(connection->stream.socket());
        }
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(n);
        const auto call = co_await send(*connection, id);
        m_ledger.add(id, call);
    }
    if (--m_activeClients == 0)
        m_onStopped();
}

asio::awaitable<CallRecord> Clients::send(Connection& connection, const std::string& id)
{
    CallRecord call;
    call.daemon = connection.daemon;
    call.incarnation = connection.incarnation;
    RequestText request { "GET", "/lookups/", id, deadlineMs };
    const auto choice = randomBelow(10);
    if (choice < 3) {
        call.kind = CallKind::Order;
        request.method = "POST";
        request.path = "/orders/";
    } else if (choice < 5 && m_routingVersion > 0) {
        call.version = m_routingVersion;
        request.path = "/v" + std::to_string(m_routingVersion) + "/";
    } else if (choice == 5) {
        call.isRestricted = true;
        request.path = "/restricted/";
    }
    const auto pieces = composeRequest(request, [this](std::size_t n) { return randomBelow(n); });
    call.sentAt = monotonicNow();
    connection.stream.expires_after(responseTimeout);
    connection.isReusable = false;
    beast::error_code ec;
    for (std::size_t n = 0; n < pieces.size() && !ec; ++n) {
        if (n > 0) {
            asio::steady_timer pause(m_io, pauseBetweenPieces);
            co_await pause.async_wait(useTuple);
        }
        const auto [writeError, bytesWritten]
            = co_await asio::async_write(connection.stream, asio::buffer(pieces[n]), useTuple);
        ec = writeError;
    }
    http::response<http::string_body> response;
    if (!ec) {
        const auto [readError, n] = co_await http::async_read(connection.stream, connection.buffer, response, useTuple);
        ec = readError;
    }
    call.endedAt = monotonicNow();
    if (ec)
        co_return call;
    call.status = response.result_int();
    call.isComplete = true;
    const auto& body = response.body();
    if (isDenial(call.status)) {
        call.denial = body.substr(0, maxDenialBytes);
        std::replace(call.denial.begin(), call.denial.end(), '\n', ' ');
    }
    call.matchesRequest
        = response["Dogwoodhall-Response-Signature"] == "signed-" + id && body.ends_with(" served " + id + "\n");
    connection.isReusable = response.keep_alive();
    co_return call;
}

} // namespace dogwoodhall::soak
