#include "RawPeer.h"
#include "TableRows.h"

#include <criterion/parameterized.h>
#include <set>

using namespace dogwoodhall;

namespace {

constexpr std::size_t large = 5 * 1024 * 1024;

// Responds with as many pattern bytes as the target gives; the size is also the seed.
asio::awaitable<void> respondWithTargetSize(IncomingRequest request, ResponseWriter writer)
{
    const std::size_t size = std::stoul(request.head.target.substr(1));
    co_await respondWithPattern(writer, exactLength(size), size, static_cast<unsigned>(size));
}

asio::awaitable<void> respondEmpty(IncomingRequest, ResponseWriter writer)
{
    co_await respondWithPattern(writer, {}, 0, 0);
}

} // namespace

asio::awaitable<void> checkSlowReaders(PeerPair& pair, std::size_t readers, std::size_t window)
{
    std::vector<IncomingResponse> slow;
    for (std::size_t k = 0; k < readers; ++k) {
        auto response
            = co_await pair.client->exchange(pair.address, makeGet("/" + std::to_string(large)), testDeadline());
        slow.push_back(std::move(*response));
    }
    co_await waitUntil([&] { return pair.client->bufferedBytes().count() >= readers * window; });
    for (int k = 0; k < 20; ++k) {
        auto quick = co_await pair.client->exchange(pair.address, makeGet("/100"), testDeadline());
        cr_assert(quick);
        cr_assert_eq((co_await readAll(quick->readBody, 100)).bytes, 100);
    }
    cr_assert_eq(pair.client->bufferedBytes().count(), readers * window);
    const ReadResult body = co_await readAll(slow[0].readBody, static_cast<unsigned>(large));
    cr_assert(!body.error && body.matches);
    cr_assert_eq(body.bytes, large);
    for (std::size_t k = 1; k < readers; ++k)
        slow[k].abandon();
    cr_assert_eq(pair.client->bufferedBytes().count(), 0);
}

struct WindowRow {
    std::size_t readers;
    std::size_t window;
};

const WindowRow windowRows[] = { { 1, 64 * 1024 }, { 1, 200 * 1024 }, { 20, 64 * 1024 }, { 100, 64 * 1024 } };

// Guards against unbounded buffering for a slow reader, and against a slow reader that blocks other streams' responses.
ParameterizedTestParameters(PeerFlow, boundsBuffersOfSlowReaders) { return rowIndices(windowRows); }

ParameterizedTest(std::size_t* index, PeerFlow, boundsBuffersOfSlowReaders)
{
    const WindowRow& row = windowRows[*index];
    PeerLimits limits;
    limits.streamWindow = ByteCount(row.window);
    PeerPair pair(respondWithTargetSize, limits);
    runTest(pair.io, checkSlowReaders(pair, row.readers, row.window));
}

// Counts the bytes that the client reads from its caller while the handler does not read.
asio::awaitable<void> checkSlowHandler(PeerPair& pair, std::size_t& bytesRead)
{
    ReadBody counted = [&, body = patternBody(large, 0)](asio::mutable_buffer buf) -> ExchangeResult<std::size_t> {
        auto n = co_await body(buf);
        bytesRead += *n;
        co_return n;
    };
    auto response
        = co_await pair.client->exchange(pair.address, makeRequest("/", exactLength(large), counted), testDeadline());
    cr_assert(response);
    cr_assert_eq((co_await readAll(response->readBody, 0)).bytes, 0);
}

RequestHandler readAfterDelay(const std::size_t& bytesRead)
{
    return [&](IncomingRequest request, ResponseWriter writer) -> asio::awaitable<void> {
        co_await sleepFor(std::chrono::milliseconds(100));
        // The stream window, the send buffer and one relay buffer.
        cr_assert_leq(bytesRead, (64 + 32 + 16) * 1024);
        cr_assert_eq((co_await readAll(request.readBody, 0)).bytes, large);
        co_await respondWithPattern(writer, {}, 0, 0);
    };
}

// Guards against buffering a complete upload while its handler does not read.
Test(PeerFlow, boundsBuffersOfSlowHandler)
{
    std::size_t bytesRead = 0;
    PeerPair pair(readAfterDelay(bytesRead));
    runTest(pair.io, checkSlowHandler(pair, bytesRead));
}

RequestHandler respondWithoutReading(unsigned status)
{
    return [status](IncomingRequest, ResponseWriter writer) -> asio::awaitable<void> {
        ResponseHead head;
        head.status = status;
        head.bodyLength = exactLength(3);
        co_await writer.writeHead(head);
        co_await writer.writeBody(asio::buffer("no\n", 3));
        co_await writer.finish();
    };
}

asio::awaitable<void> checkEarlyResponse(PeerPair& pair, unsigned status)
{
    auto response = co_await pair.client->exchange(
        pair.address, makeRequest("/", streamedLength(), patternBody(large, 0)), testDeadline());
    cr_assert(response, "%s", response ? "" : response.error().detail.c_str());
    cr_assert_eq(response->head.status, status);
    const ReadResult body = co_await readAll(response->readBody, 0);
    cr_assert(!body.error);
    cr_assert_eq(body.bytes, 3);
}

const unsigned earlyStatuses[] = { 200, 404, 503 };

// Guards against an upload that hangs, or a response that is lost, when the handler responds without reading the body.
ParameterizedTestParameters(PeerFlow, acceptsResponseBeforeBodyIsSent) { return rowIndices(earlyStatuses); }

ParameterizedTest(std::size_t* index, PeerFlow, acceptsResponseBeforeBodyIsSent)
{
    PeerPair pair(respondWithoutReading(earlyStatuses[*index]));
    runTest(pair.io, checkEarlyResponse(pair, earlyStatuses[*index]));
}

asio::awaitable<void> abandonAfterFirstRead(PeerPair& pair, std::size_t size)
{
    auto response = co_await pair.client->exchange(pair.address, makeGet("/" + std::to_string(size)), testDeadline());
    cr_assert(response);
    std::array<char, 1000> buf;
    co_await response->readBody(asio::buffer(buf));
    response->abandon();
    const auto afterwards = co_await response->readBody(asio::buffer(buf));
    cr_assert_not(afterwards);
}

asio::awaitable<void> readCompletely(PeerPair& pair, std::size_t size, std::size_t& completed)
{
    auto response = co_await pair.client->exchange(pair.address, makeGet("/" + std::to_string(size)), testDeadline());
    cr_assert(response);
    const ReadResult body = co_await readAll(response->readBody, static_cast<unsigned>(size));
    cr_assert(!body.error && body.matches);
    cr_assert_eq(body.bytes, size);
    ++completed;
}

asio::awaitable<void> checkAbandonedStreams(PeerPair& pair)
{
    constexpr std::size_t rounds = 100;
    std::size_t completed = 0;
    for (std::size_t k = 0; k < rounds; ++k) {
        asio::co_spawn(pair.io, readCompletely(pair, 150000 + 7 * k, completed), asio::detached);
        co_await abandonAfterFirstRead(pair, 1000000 + k);
    }
    co_await waitUntil([&] { return completed >= rounds; });
    // The window of abandoned streams has been returned: another large body still passes.
    co_await readCompletely(pair, large, completed);
    cr_assert_eq(pair.client->openConnections(), 1);
    cr_assert_eq(pair.client->bufferedBytes().count(), 0);
}

// Guards against data of a cancelled stream that reaches another stream or exhausts the connection's window.
Test(PeerFlow, isolatesDataOfAbandonedStreams)
{
    PeerLimits limits;
    limits.connectionWindow = ByteCount(1024 * 1024);
    PeerPair pair(respondWithTargetSize, limits);
    runTest(pair.io, checkAbandonedStreams(pair));
}

asio::awaitable<void> checkAddressFilter(PeerPair& pair, bool accepted)
{
    auto response = co_await pair.client->exchange(pair.address, makeGet("/"), testDeadline());
    cr_assert_eq(response.has_value(), accepted);
    cr_assert_eq(pair.server->counters().addressesRejected.load(), accepted ? 0 : 1);
}

const std::set<std::string> filterRows[] = { { "127.0.0.1" }, { "127.0.0.2", "127.0.0.3" }, {} };

// Guards against serving hosts that are not members on the peer port.
ParameterizedTestParameters(PeerFlow, servesAcceptedAddressesOnly) { return rowIndices(filterRows); }

ParameterizedTest(std::size_t* index, PeerFlow, servesAcceptedAddressesOnly)
{
    const std::set<std::string>& members = filterRows[*index];
    PeerPair pair(
        respondEmpty, {}, [&](const asio::ip::address& address) { return members.contains(address.to_string()); });
    runTest(pair.io, checkAddressFilter(pair, members.contains("127.0.0.1")));
}

asio::awaitable<void> checkShutdown(PeerPair& pair)
{
    // A stream that is still being read keeps the server from completing its shutdown.
    auto running = co_await pair.client->exchange(pair.address, makeGet("/" + std::to_string(large)), testDeadline());
    cr_assert(running);
    bool done = false;
    pair.server->shutdown([&] { done = true; });
    co_await sleepFor(std::chrono::milliseconds(20));
    auto late = co_await pair.client->exchange(pair.address, makeGet("/1"), testDeadline());
    cr_assert(!late && late.error().provenNotRun);
    cr_assert_not(done);
    const ReadResult body = co_await readAll(running->readBody, static_cast<unsigned>(large));
    cr_assert(!body.error && body.matches);
    cr_assert_eq(body.bytes, large);
    co_await waitUntil([&] { return done && pair.client->openConnections() == 0; });
    cr_assert_eq(pair.server->openConnections(), 0);
}

// Guards against a graceful shutdown that interrupts a running stream or accepts a new one.
Test(PeerFlow, finishesRunningStreamsAtShutdown)
{
    PeerPair pair(respondWithTargetSize);
    runTest(pair.io, checkShutdown(pair));
}

asio::awaitable<void> checkExpired(PeerPair& pair, const std::size_t& runs, bool isConnected)
{
    std::size_t expectedRuns = 1;
    if (isConnected) {
        cr_assert(co_await pair.client->exchange(pair.address, makeGet("/"), testDeadline()));
        ++expectedRuns;
    }
    const auto past = std::chrono::steady_clock::now() - std::chrono::seconds(1);
    auto expired = co_await pair.client->exchange(pair.address, makeGet("/expired"), past);
    cr_assert(!expired && expired.error().provenNotRun);
    cr_assert_eq(expired.error().kind, ErrorKind::DeadlineExceeded);
    cr_assert(co_await pair.client->exchange(pair.address, makeGet("/"), testDeadline()));
    cr_assert_eq(runs, expectedRuns);
}

RequestHandler countRuns(std::size_t& runs)
{
    return [&](IncomingRequest request, ResponseWriter writer) -> asio::awaitable<void> {
        cr_assert(request.head.target == "/");
        ++runs;
        co_await respondWithPattern(writer, {}, 0, 0);
    };
}

const bool connectedRows[] = { false, true };

// Guards against sending a queued request after it was reported as not run.
ParameterizedTestParameters(PeerFlow, neverSendsExpiredRequest) { return rowIndices(connectedRows); }

ParameterizedTest(std::size_t* index, PeerFlow, neverSendsExpiredRequest)
{
    std::size_t runs = 0;
    PeerPair pair(countRuns(runs));
    runTest(pair.io, checkExpired(pair, runs, connectedRows[*index]));
}

asio::awaitable<void> checkHead(PeerPair& pair)
{
    OutgoingRequest request = makeGet("/5000");
    request.head.method = "HEAD";
    auto response = co_await pair.client->exchange(pair.address, std::move(request), testDeadline());
    cr_assert(response);
    cr_assert_eq(response->head.bodyLength.bytes.count(), 5000);
    const ReadResult body = co_await readAll(response->readBody, 0);
    cr_assert(!body.error);
    cr_assert_eq(body.bytes, 0);
}

// Guards against treating a response to HEAD as a truncated body.
Test(PeerFlow, respondsToHeadWithoutBody)
{
    PeerPair pair(respondWithTargetSize);
    runTest(pair.io, checkHead(pair));
}

asio::awaitable<void> checkReopening(PeerPair& pair)
{
    for (int k = 0; k < 3; ++k) {
        auto response = co_await pair.client->exchange(pair.address, makeGet("/"), testDeadline());
        cr_assert(response);
        cr_assert_eq((co_await readAll(response->readBody, 0)).bytes, 0);
        pair.server.emplace(pair.io.get_executor(), PeerLimits {}, respondEmpty, acceptAll);
        cr_assert(pair.server->listen(pair.address));
        co_await waitUntil([&] { return pair.client->openConnections() == 0; });
    }
    cr_assert_eq(pair.client->counters().connectionsOpened.load(), 3);
    // A second server on the same port, as another traffic thread has.
    PeerServer second(pair.io.get_executor(), {}, respondEmpty, acceptAll);
    cr_assert(second.listen(pair.address));
}

// Guards against a client that keeps using a lost connection, and a port that only one thread can listen on.
Test(PeerFlow, opensConnectionAgainAfterLoss)
{
    PeerPair pair(respondEmpty);
    runTest(pair.io, checkReopening(pair));
}

asio::awaitable<void> startMany(PeerPair& pair, std::size_t& started)
{
    for (int k = 0; k < 5; ++k) {
        asio::co_spawn(pair.io, pair.client->exchange(pair.address, makeGet("/"), testDeadline()), asio::detached);
        auto large = makeRequest("/", streamedLength(), patternBody(1 << 30, 0));
        asio::co_spawn(pair.io, pair.client->exchange(pair.address, std::move(large), testDeadline()), asio::detached);
    }
    co_await waitUntil([&] { return started == 10; });
}

RequestHandler countAndWait(std::size_t& started)
{
    return [&](IncomingRequest, ResponseWriter writer) -> asio::awaitable<void> {
        ++started;
        co_await sleepFor(2 * testTimeout);
        co_await writer.finish();
    };
}

const bool drainRows[] = { true, false };

// Guards against a coroutine that outlives the objects it uses when a thread stops with streams in progress.
ParameterizedTestParameters(PeerFlow, stopsWithRunningStreams) { return rowIndices(drainRows); }

ParameterizedTest(std::size_t* index, PeerFlow, stopsWithRunningStreams)
{
    std::size_t started = 0;
    PeerPair pair(countAndWait(started));
    pair.drainsOnDestruction = drainRows[*index];
    runTest(pair.io, startMany(pair, started));
}
