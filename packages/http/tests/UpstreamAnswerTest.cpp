#include "TableRows.h"

#include "dogwoodhall/exchange/WholeBody.h"
#include "dogwoodhall/http/UpstreamClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <limits>
#include <string>
#include <vector>

using namespace dogwoodhall;

namespace {

constexpr std::chrono::seconds testTimeout { 10 };

// An upstream that responds to each request with the same bytes, and a client that forwards its caller's ids.
class Fixture {
public:
    explicit Fixture(std::string responseText)
        : m_responseText(std::move(responseText))
        , m_acceptor(m_io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , client(m_io.get_executor(), limits())
    {
        asio::co_spawn(m_io, accept(), asio::detached);
    }

    tl::expected<std::string, ExchangeError> call(const std::string& id, std::string body = {})
    {
        std::optional<tl::expected<std::string, ExchangeError>> result;
        asio::co_spawn(m_io, exchange(id, std::move(body), result), asio::detached);
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (!result && std::chrono::steady_clock::now() < end)
            m_io.run_one_for(std::chrono::milliseconds(50));
        cr_assert(result.has_value());
        return *result;
    }

    void stopListening() { m_acceptor.close(); }

    std::size_t wholeResponses = std::numeric_limits<std::size_t>::max(); // Before the first that is cut.
    std::size_t cutAfter = 0; // Bytes; the connection is then closed.
    std::size_t accepted = 0;
    std::vector<std::uint64_t> headsWritten; // Connections opened before each.
    std::size_t received = 0; // Requests.
    bool maySend = true;
    std::vector<unsigned> heads; // Status of each head that the client reported.

private:
    static UpstreamLimits limits()
    {
        UpstreamLimits limits;
        limits.correlation = { Correlation::Source::Caller, "X-Id" };
        return limits;
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++accepted;
            asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string received;
        while (true) {
            const auto n = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::use_awaitable);
            received.erase(0, n);
            ++this->received;
            const bool isCut = this->received > wholeResponses;
            const auto text = isCut ? m_responseText.substr(0, cutAfter) : m_responseText;
            co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
            if (isCut)
                co_return; // Closes the connection.
        }
    }

    asio::awaitable<void> exchange(
        std::string id, std::string body, std::optional<tl::expected<std::string, ExchangeError>>& result)
    {
        OutgoingRequest request;
        request.head.method = body.empty() ? "GET" : "POST";
        request.head.target = "/";
        request.head.fields.add("Host", "test");
        if (!id.empty())
            request.head.fields.add("X-Id", id);
        if (!body.empty())
            request.head.bodyLength = { BodyLength::Kind::Exact, ByteCount(1'000'000) };
        // A sender that sends only the first part of its body.
        request.readBody = [this, body, sent = false](asio::mutable_buffer buf) mutable -> ExchangeResult<std::size_t> {
            if (!std::exchange(sent, true)) {
                const auto n = std::min(buf.size(), body.size());
                std::copy_n(body.data(), n, static_cast<char*>(buf.data()));
                co_return n;
            }
            asio::steady_timer never(m_io, asio::steady_timer::time_point::max());
            co_await never.async_wait(asio::use_awaitable);
            co_return std::size_t { 0 };
        };
        request.headWritten = [this] { headsWritten.push_back(client.connectionsOpened()); };
        request.maySend = [this] { return maySend; };
        request.onHead = [this](const ResponseHead& head) { heads.push_back(head.status); };
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        const auto address = NetworkAddress { IpAddress::loopback(), m_port };
        auto response = co_await client.exchange(address, std::move(request), deadline);
        if (!response) {
            result = tl::unexpected(response.error());
            co_return;
        }
        result = co_await readFullBody(response->readBody, ByteCount(1000));
    }

    std::string m_responseText;
    asio::io_context m_io { 1 };
    asio::ip::tcp::acceptor m_acceptor;
    const std::uint16_t m_port = m_acceptor.local_endpoint().port();

public:
    UpstreamClient client;
};

} // namespace

struct ResponseRow {
    const char* name;
    const char* responseText;
    const char* id; // Of the request.
    const char* body; // Of the request; never sent completely.
    bool isAccepted;
    std::size_t connections; // For two calls.
};

const ResponseRow rows[] = {
    { "the request's own id", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", "a", "", true, 1 },
    { "another request's id", "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nok", "a", "", false, 2 },
    { "no id in the response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "a", "", false, 2 },
    { "no id in request and response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "", "", true, 1 },
    { "an unexpected id", "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nok", "", "", false, 2 },
    { "bytes after the response", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200", "a", "",
        true, 2 },
    { "closes after the response", "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        "a", "", true, 2 },
    { "short Keep-Alive timeout", "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok",
        "a", "", true, 2 },
    { "long Keep-Alive timeout", "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok",
        "a", "", true, 1 },
    { "response before the body was sent", "HTTP/1.1 413 No\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", "a", "part",
        true, 2 },
};

// Guards against accepting another request's response, and against reusing a connection on which the upstream still
// expects or sends data, or which it is about to close.
ParameterizedTestParameters(UpstreamAnswer, reusesConnectionOnlyWhenSafe) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, UpstreamAnswer, reusesConnectionOnlyWhenSafe, .timeout = 30)
{
    const auto& row = rows[*index];
    Fixture fixture(row.responseText);
    for (int n = 0; n < 2; ++n) {
        const auto body = fixture.call(row.id, row.body);
        cr_expect_eq(
            body.has_value(), row.isAccepted, "%s: %s", row.name, body ? "accepted" : body.error().detail.c_str());
    }
    cr_expect_eq(fixture.accepted, row.connections, "%s: %zu connections", row.name, fixture.accepted);
}

struct WriteRow {
    const char* name;
    bool isListening;
    const char* body; // Of the request; never sent completely.
    std::vector<std::uint64_t> headsWritten; // In two calls; the connections opened before each.
};

const WriteRow writeRows[] = {
    { "on a new connection, then on the same one", true, "", { 1, 1 } },
    { "before the rest of the body", true, "part", { 1, 2 } },
    { "connection refused", false, "", {} },
};

// Guards against a write that is reported before the connection is open, more than once or not at all: requests to cold
// endpoints are paced by it.
ParameterizedTestParameters(UpstreamAnswer, reportsWrittenHeads) { return rowIndices(writeRows); }

ParameterizedTest(std::size_t* index, UpstreamAnswer, reportsWrittenHeads, .timeout = 30)
{
    const auto& row = writeRows[*index];
    Fixture fixture("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok");
    if (!row.isListening)
        fixture.stopListening();
    for (int n = 0; n < 2; ++n)
        cr_expect_eq(fixture.call("a", row.body).has_value(), row.isListening, "%s", row.name);
    cr_expect(fixture.headsWritten == row.headsWritten, "%s: %zu heads", row.name, fixture.headsWritten.size());
}

// Guards against a request that is written although the reason to send it ended while a connection was being opened or
// after one was chosen.
Test(UpstreamAnswer, withholdsRequests, .timeout = 30)
{
    Fixture fixture("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok");
    for (const bool maySend : { false, true, false }) {
        fixture.maySend = maySend;
        const auto before = fixture.received;
        const auto body = fixture.call("a");
        cr_assert_eq(body.has_value(), maySend);
        cr_expect_eq(fixture.received - before, maySend ? 1 : 0);
        if (!body)
            cr_expect(body.error().isWithheld && body.error().provenNotRun);
    }
}

struct HeadRow {
    const char* name;
    const char* responseText;
    std::vector<unsigned> heads;
};

const HeadRow headRows[] = {
    { "final head", "HTTP/1.1 503 No\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", { 503 } },
    { "interim heads",
        "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
        { 100, 103, 200 } },
    { "another request's final head", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 503 No\r\nX-Id: b\r\n\r\n", { 103 } },
};

// Guards against statements of an endpoint that are lost in interim heads, and against those of another request's
// response.
ParameterizedTestParameters(UpstreamAnswer, reportsEachHead) { return rowIndices(headRows); }

ParameterizedTest(std::size_t* index, UpstreamAnswer, reportsEachHead, .timeout = 30)
{
    const auto& row = headRows[*index];
    Fixture fixture(row.responseText);
    fixture.call("a");
    cr_expect(fixture.heads == row.heads, "%s: %zu heads", row.name, fixture.heads.size());
}

struct CutRow {
    const char* name;
    const char* responseText;
    std::size_t wholeResponses; // On the same connection, before the one that is cut.
    bool endsWithConnection; // The response has no length, so that one cut in its body looks whole.
};

const CutRow cutRows[] = {
    { "length", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", 0, false },
    { "length, kept connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", 1, false },
    { "length after other fields", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok", 0,
        false },
    { "chunks",
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\nX-End: e\r\n\r\n",
        0, false },
    { "chunks, kept connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        1, false },
    { "interim head",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok", 0,
        false },
    { "no length", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nok", 0, true },
    { "no body", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", 0, false },
};

// Guards against a response that its upstream stopped sending, at any byte, and that is passed on as a whole one.
ParameterizedTestParameters(UpstreamAnswer, failsWhereItIsCut) { return rowIndices(cutRows); }

ParameterizedTest(std::size_t* index, UpstreamAnswer, failsWhereItIsCut, .timeout = 120)
{
    const auto& row = cutRows[*index];
    const std::string text = row.responseText;
    const std::size_t headEnd = text.rfind("\r\n\r\nok") + 4;
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
        Fixture fixture(text);
        fixture.wholeResponses = row.wholeResponses;
        fixture.cutAfter = cut;
        for (std::size_t n = 0; n < row.wholeResponses; ++n)
            cr_assert(fixture.call("a").has_value(), "%s: a whole response", row.name);
        const auto body = fixture.call("a");
        const bool looksWhole = row.endsWithConnection && cut >= headEnd;
        cr_expect_eq(body.has_value(), looksWhole, "%s, cut after %zu bytes", row.name, cut);
        if (body)
            cr_expect_eq(*body, text.substr(headEnd, cut - headEnd), "%s, cut after %zu bytes", row.name, cut);
        else
            cr_expect_not(body.error().provenNotRun, "%s, cut after %zu bytes", row.name, cut);
    }
}

struct StatusRow {
    const char* status;
    const char* rest; // Of the response, after the status.
    bool isAccepted;
};

const char* const wholeRest = " X\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok";
const char* const interimRest = " X\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok";

const StatusRow statusRows[] = {
    { "200", wholeRest, true },
    { "599", wholeRest, true },
    { "000", wholeRest, false },
    { "099", wholeRest, false },
    { "600", wholeRest, false },
    { "999", wholeRest, false },
    { "20", wholeRest, false },
    { "2000", wholeRest, false },
    { "+20", wholeRest, false },
    { "2x0", wholeRest, false },
    { "101", wholeRest, false },
    { "100", interimRest, true },
    { "199", interimRest, true },
    { "000", interimRest, false },
    { "099", interimRest, false },
    { "101", interimRest, false },
};

// Guards against a response whose status HTTP does not have, or that switches the protocol without a request for it,
// and that reaches the caller as an answer or keeps it waiting for the final one.
ParameterizedTestParameters(UpstreamAnswer, acceptsOnlyStatusesOfHttp) { return rowIndices(statusRows); }

ParameterizedTest(std::size_t* index, UpstreamAnswer, acceptsOnlyStatusesOfHttp, .timeout = 30)
{
    const auto& row = statusRows[*index];
    Fixture fixture(std::string("HTTP/1.1 ") + row.status + row.rest);
    const auto body = fixture.call("a");
    cr_expect_eq(body.has_value(), row.isAccepted, "%s%s", row.status, row.rest);
    if (body)
        return;
    cr_expect(
        body.error().kind == ErrorKind::UpstreamFailed, "%s%s: %s", row.status, row.rest, body.error().detail.c_str());
    cr_expect_not(body.error().provenNotRun, "%s%s", row.status, row.rest);
}
