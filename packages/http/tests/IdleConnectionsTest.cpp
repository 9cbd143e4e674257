#include "TableRows.h"

#include "dogwoodhall/exchange/Acceptor.h"
#include "dogwoodhall/exchange/WholeBody.h"
#include "dogwoodhall/http/CallerSessions.h"
#include "dogwoodhall/http/UpstreamClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <functional>

using namespace dogwoodhall;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds testTimeout { 30 };

// A server that responds only after all requests have arrived, so that each needs its own connection, and its client.
class Fixture {
public:
    Fixture(std::size_t requests, UpstreamLimits limits, std::function<void(IncomingResponse&)> ended = {})
        : m_requests(requests)
        , m_ended(std::move(ended))
        , m_acceptor(m_io.get_executor())
        , m_address(m_acceptor.listen({ IpAddress::loopback(), 0 }, PortSharing::Exclusive).value())
        , m_sessions(m_io.get_executor(), CallerLimits {},
              [this](IncomingRequest, ResponseWriter writer) { return respond(std::move(writer)); })
        , client(m_io.get_executor(), std::move(limits))
    {
        asio::co_spawn(m_io,
            m_acceptor.run([this](asio::ip::tcp::socket socket) { m_sessions.serve(std::move(socket)); }),
            asio::detached);
        for (std::size_t n = 0; n < m_requests; ++n)
            asio::co_spawn(m_io, call(), asio::detached);
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (m_completed < m_requests && std::chrono::steady_clock::now() < end)
            m_io.run_one_for(milliseconds(100));
        cr_assert_eq(m_completed, m_requests);
    }

private:
    asio::awaitable<void> respond(ResponseWriter writer)
    {
        ++m_arrived;
        while (m_arrived < m_requests)
            co_await asio::post(m_io, asio::use_awaitable);
        ResponseHead head;
        head.status = 200;
        co_await writeFullResponse(writer, head, "done");
    }

    asio::awaitable<void> call()
    {
        OutgoingRequest request;
        request.head.method = "GET";
        request.head.target = "/";
        request.head.fields.add("Host", "test");
        request.readBody = emptyBody();
        const auto deadline = std::chrono::steady_clock::now() + testTimeout;
        auto response = co_await client.exchange(m_address, std::move(request), deadline);
        cr_assert(response.has_value());
        cr_assert_eq(response->head.status, 200);
        auto body = co_await readFullBody(*response, ByteCount(100), deadline);
        cr_assert(body.has_value());
        if (m_ended)
            m_ended(*response);
        ++m_completed;
    }

    asio::io_context m_io;
    std::size_t m_requests;
    std::function<void(IncomingResponse&)> m_ended; // Called with each response that has been read.
    std::size_t m_arrived = 0;
    std::size_t m_completed = 0;
    Acceptor m_acceptor;
    NetworkAddress m_address;
    CallerSessions m_sessions;

public:
    UpstreamClient client;
};

} // namespace

struct IdleRow {
    const char* name;
    std::size_t limit; // While the responses arrive.
    std::size_t laterLimit;
    milliseconds idleTimeout;
    std::size_t kept;
    std::size_t keptLater; // After closeIdleConnections().
};

const IdleRow rows[] = {
    { "within the limit", 8, 8, milliseconds(60'000), 6, 6 },
    { "above the limit", 4, 4, milliseconds(60'000), 4, 4 },
    { "no idle connections allowed", 0, 0, milliseconds(60'000), 0, 0 },
    { "the limit is lowered", 8, 2, milliseconds(60'000), 6, 2 },
    { "the endpoint is no longer declared", 8, 0, milliseconds(60'000), 6, 0 },
    { "idle for the idle time-out", 8, 8, milliseconds(0), 6, 0 },
};

// Guards against exceeding an endpoint's idle connection limit, and against keeping connections to hosts that have
// disappeared and therefore never close them.
ParameterizedTestParameters(IdleConnections, stayWithinTheLimit) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, IdleConnections, stayWithinTheLimit)
{
    const auto& row = rows[*index];
    std::size_t limit = row.limit;
    UpstreamLimits limits;
    limits.idleTimeout = row.idleTimeout;
    limits.idleLimit = [&](const NetworkAddress&) { return limit; };
    Fixture fixture(6, std::move(limits));
    cr_assert_eq(fixture.client.openConnections(), row.kept, "%s: %zu", row.name, fixture.client.openConnections());
    limit = row.laterLimit;
    fixture.client.closeIdleConnections();
    cr_assert_eq(
        fixture.client.openConnections(), row.keptLater, "%s: %zu", row.name, fixture.client.openConnections());
}

struct EndedRow {
    const char* name;
    std::size_t limit;
    std::size_t kept;
};

const EndedRow endedRows[] = {
    { "connections kept", 8, 6 },
    { "some closed", 4, 4 },
    { "all closed", 0, 0 },
};

// Guards against a response that is abandoned after its end, as when its time limit passes at the same moment, and
// closes a connection that waits for the next request.
ParameterizedTestParameters(IdleConnections, outliveTheirResponses) { return rowIndices(endedRows); }

ParameterizedTest(std::size_t* index, IdleConnections, outliveTheirResponses)
{
    const auto& row = endedRows[*index];
    UpstreamLimits limits;
    limits.idleTimeout = milliseconds(60'000);
    limits.idleLimit = [&](const NetworkAddress&) { return row.limit; };
    Fixture fixture(6, std::move(limits), [](IncomingResponse& response) { response.abandon(); });
    cr_expect_eq(fixture.client.openConnections(), row.kept, "%s: %zu", row.name, fixture.client.openConnections());
    fixture.client.closeIdleConnections();
    cr_expect_eq(fixture.client.openConnections(), row.kept, "%s: %zu", row.name, fixture.client.openConnections());
}
