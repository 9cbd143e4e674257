#include "EndlessServer.h"
#include "TableRows.h"

#include "dogwoodhall/exchange/AsioAddress.h"
#include "dogwoodhall/exchange/WholeBody.h"
#include "dogwoodhall/http/UpstreamClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

using namespace dogwoodhall;

namespace {

constexpr std::chrono::milliseconds timeLimit { 1000 };
// The client fails an endless response by its size, long before the time limit, or by the time limit; the rest is for a
// busy machine.
constexpr std::chrono::seconds testTimeout { 10 };
// What the sockets of both sides hold, and the client's own limits. Without limits it is hundreds of megabytes.
constexpr std::size_t maxBytesTaken = 24 * 1024 * 1024;

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

using Result = tl::expected<std::string, ExchangeError>;

asio::awaitable<void> exchange(UpstreamClient& client, NetworkAddress address, std::optional<Result>& result)
{
    OutgoingRequest request;
    request.head.method = "GET";
    request.head.target = "/";
    request.head.fields.add("Host", "test");
    request.readBody = emptyBody();
    const auto deadline = std::chrono::steady_clock::now() + timeLimit;
    auto response = co_await client.exchange(address, std::move(request), deadline);
    if (!response) {
        result = tl::unexpected(response.error());
        co_return;
    }
    result = co_await readFullBody(*response, ByteCount(100'000), deadline);
}

} // namespace

struct EndlessRow {
    const char* name;
    const char* start;
    const char* piece;
};

const EndlessRow endlessRows[] = {
    { "status line", "HTTP/1.1 200 O", "K" },
    { "header fields", OK, "X-Field: value\r\n" },
    // A read that ends in the first byte of a line lets the parser consume all lines before it.
    { "header fields at the ends of reads", OK "Server: abcd\r\nX", "-Field: value\r\nX" },
    { "one header field", OK "X-Field: ", "value" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "interim responses with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
    { "chunk extension", CHUNKED "5;", "extension" },
    { "chunk extensions of many chunks", CHUNKED, "1;extension=0123456789012345678901234567890123456789\r\nx\r\n" },
    { "zeros before a chunk size", CHUNKED, "0000000000000000" },
    { "trailers", CHUNKED "5\r\nhello\r\n0\r\n", "X-Field: value\r\n" },
    { "one trailer", CHUNKED "5\r\nhello\r\n0\r\nX-Field: ", "value" },
    { "chunked body", CHUNKED, "5\r\nhello\r\n" },
    { "body without a length", OK "\r\n", "hello" },
    { "bytes that are no answer", "", "no answer " },
};

// Guards against an endpoint whose bytes never end: they filled the memory of the process, or held its thread beyond
// the time limit.
ParameterizedTestParameters(UpstreamLimits, endEndlessResponses) { return rowIndices(endlessRows); }

ParameterizedTest(std::size_t* index, UpstreamLimits, endEndlessResponses, .timeout = 60)
{
    const auto& row = endlessRows[*index];
    EndlessServer upstream(row.start, row.piece);
    const NetworkAddress address { IpAddress::loopback(), upstream.port() };
    asio::io_context io { 1 };
    UpstreamClient client(io.get_executor(), UpstreamLimits {});
    std::optional<Result> result;
    asio::co_spawn(io, exchange(client, address, result), asio::detached);
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!result && std::chrono::steady_clock::now() < end)
        io.run_one_for(std::chrono::milliseconds(50));
    cr_assert(result.has_value(), "%s: no result", row.name);
    cr_expect_not(result->has_value(), "%s", row.name);
    cr_expect_eq(client.openConnections(), 0, "%s", row.name);
    io.poll();
    while (upstream.answers() == 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    const std::size_t bytes = upstream.bytesTaken();
    cr_expect_leq(bytes, maxBytesTaken, "%s: %zu bytes", row.name, bytes);
}

struct LateBodyRow {
    const char* name;
    BodyLength::Kind kind;
    std::size_t declared;
    ErrorKind error;
    bool isBuffered = false;
};

const LateBodyRow lateBodyRows[] = {
    { "end of a body of known length", BodyLength::Kind::Exact, 4, ErrorKind::DeadlineExceeded },
    { "rest of a body of known length", BodyLength::Kind::Exact, 5, ErrorKind::RequestTimeout },
    { "end of a chunked body", BodyLength::Kind::Streamed, 0, ErrorKind::RequestTimeout },
    { "buffered body, pause of the process", BodyLength::Kind::Exact, 5, ErrorKind::DeadlineExceeded, true },
};

namespace {

// Sends four bytes of a body; what follows them comes only after the deadline.
asio::awaitable<void> sendLateBody(
    UpstreamClient& client, NetworkAddress address, const LateBodyRow& row, std::optional<ExchangeError>& error)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
    OutgoingRequest request;
    request.head.method = "POST";
    request.head.target = "/";
    request.head.fields.add("Host", "test");
    request.head.bodyLength = { row.kind, ByteCount(row.declared) };
    request.isBodyBuffered = row.isBuffered;
    const auto executor = co_await asio::this_coro::executor;
    bool isSent = false;
    request.readBody = [&isSent, deadline, executor](asio::mutable_buffer buf) -> ExchangeResult<std::size_t> {
        if (!std::exchange(isSent, true)) {
            std::fill_n(static_cast<char*>(buf.data()), 4, 'b');
            co_return std::size_t { 4 };
        }
        asio::steady_timer late(executor, deadline + std::chrono::milliseconds(50));
        co_await late.async_wait(asio::use_awaitable);
        co_return std::size_t { 0 };
    };
    auto response = co_await client.exchange(address, std::move(request), deadline);
    error = response ? ExchangeError { ErrorKind::Internal, false, "answered" } : response.error();
}

} // namespace

// Guards against "the body was late", which promises that the request did not run, for one whose endpoint has the whole
// body and may be running it.
ParameterizedTestParameters(UpstreamLimits, reportLateBodies) { return rowIndices(lateBodyRows); }

ParameterizedTest(std::size_t* index, UpstreamLimits, reportLateBodies, .timeout = 60)
{
    const auto& row = lateBodyRows[*index];
    asio::io_context io { 1 };
    // Accepts connections and reads nothing.
    asio::ip::tcp::acceptor acceptor(io, toEndpoint({ IpAddress::loopback(), 0 }));
    UpstreamClient client(io.get_executor(), UpstreamLimits {});
    std::optional<ExchangeError> error;
    asio::co_spawn(io, sendLateBody(client, fromEndpoint(acceptor.local_endpoint()), row, error), asio::detached);
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!error && std::chrono::steady_clock::now() < end)
        io.run_one_for(std::chrono::milliseconds(50));
    cr_assert(error.has_value(), "%s", row.name);
    cr_expect_eq(error->kind, row.error, "%s: %s", row.name, error->detail.c_str());
    cr_expect_not(error->provenNotRun, "%s", row.name);
}
