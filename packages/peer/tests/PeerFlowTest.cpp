#include "RawPeer.h"
#include "TableRows.h"

#include <criterion/parameterized.h>
#include <set>

using namespace dogwoodhall;

namespace {

constexpr std::size_t large = 5 * 1024 * 1024;

// Answers with as many pattern bytes as the target says; the seed is the size too.
asio::awaitable<void> answerSizeInTarget(IncomingRequest request, ResponseWriter writer)
{
    const std::size_t size = std::stoul(request.head.target.substr(1));
    co_await answerPattern(writer, exactly(size), size, static_cast<unsigned>(size));
}

asio::awaitable<void> answerEmpty(IncomingRequest, ResponseWriter writer) { co_await answerPattern(writer, {}, 0, 0); }

} // namespace

asio::awaitable<void> checkSlowReaders(PeerPair& pair, std::size_t readers, std::size_t window)
{
    std::vector<IncomingResponse> slow;
    for (std::size_t k = 0; k < readers; ++k) {
        auto response
            = co_await pair.client->exchange(pair.address, makeGet("/" + std::to_string(large)), farDeadline());
        slow.push_back(std::move(*response));
    }
    co_await waitUntil([&] { return pair.client->bufferedBytes().count() >= readers * window; });
    for (int k = 0; k < 20; ++k) {
        auto quick = co_await pair.client->exchange(pair.address, makeGet("/100"), farDeadline());
        cr_assert(quick);
        cr_assert_eq((co_await readAll(quick->readBody, 100)).bytes, 100);
    }
    cr_assert_eq(pair.client->bufferedBytes().count(), readers * window);
    const ReadOutcome body = co_await readAll(slow[0].readBody, static_cast<unsigned>(large));
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

// Guards against a slow reader whose data piles up here, and against one that blocks the short answers of others.
ParameterizedTestParameters(PeerFlow, boundsDataOfSlowReaders) { return rowIndices(windowRows); }

ParameterizedTest(std::size_t* index, PeerFlow, boundsDataOfSlowReaders)
{
    const WindowRow& row = windowRows[*index];
    PeerLimits limits;
    limits.streamWindow = ByteCount(row.window);
    PeerPair pair(answerSizeInTarget, limits);
    runTest(pair.io, checkSlowReaders(pair, row.readers, row.window));
}

// Counts what the client takes from its caller while the handler does not read.
asio::awaitable<void> checkSlowHandler(PeerPair& pair, std::size_t& taken)
{
    ReadBody counted = [&, body = patternBody(large, 0)](asio::mutable_buffer buf) -> ExchangeResult<std::size_t> {
        auto n = co_await body(buf);
        taken += *n;
        co_return n;
    };
    auto response
        = co_await pair.client->exchange(pair.address, makeRequest("/", exactly(large), counted), farDeadline());
    cr_assert(response);
    cr_assert_eq((co_await readAll(response->readBody, 0)).bytes, 0);
}

RequestHandler readLate(const std::size_t& taken)
{
    return [&](IncomingRequest request, ResponseWriter writer) -> asio::awaitable<void> {
        co_await sleepFor(std::chrono::milliseconds(100));
        // The window, the send buffer and one relay buffer.
        cr_assert_leq(taken, (64 + 32 + 16) * 1024);
        cr_assert_eq((co_await readAll(request.readBody, 0)).bytes, large);
        co_await answerPattern(writer, {}, 0, 0);
    };
}

// Guards against an upload that is buffered whole while its handler waits.
Test(PeerFlow, boundsDataOfSlowHandler)
{
    std::size_t taken = 0;
    PeerPair pair(readLate(taken));
    runTest(pair.io, checkSlowHandler(pair, taken));
}

RequestHandler refuseUnread(unsigned status)
{
    return [status](IncomingRequest, ResponseWriter writer) -> asio::awaitable<void> {
        ResponseHead head;
        head.status = status;
        head.bodyLength = exactly(3);
        co_await writer.writeHead(head);
        co_await writer.writeBody(asio::buffer("no\n", 3));
        co_await writer.finish();
    };
}

asio::awaitable<void> checkEarlyAnswer(PeerPair& pair, unsigned status)
{
    auto response = co_await pair.client->exchange(
        pair.address, makeRequest("/", streamed(), patternBody(large, 0)), farDeadline());
    cr_assert(response, "%s", response ? "" : response.error().detail.c_str());
    cr_assert_eq(response->head.status, status);
    const ReadOutcome body = co_await readAll(response->readBody, 0);
    cr_assert(!body.error);
    cr_assert_eq(body.bytes, 3);
}

const unsigned earlyStatuses[] = { 200, 404, 503 };

// Guards against an upload that waits for ever, or an answer that is lost, where the handler does not read the body.
ParameterizedTestParameters(PeerFlow, takesAnswerBeforeBodyIsSent) { return rowIndices(earlyStatuses); }

ParameterizedTest(std::size_t* index, PeerFlow, takesAnswerBeforeBodyIsSent)
{
    PeerPair pair(refuseUnread(earlyStatuses[*index]));
    runTest(pair.io, checkEarlyAnswer(pair, earlyStatuses[*index]));
}

asio::awaitable<void> abandonLater(PeerPair& pair, std::size_t size)
{
    auto response = co_await pair.client->exchange(pair.address, makeGet("/" + std::to_string(size)), farDeadline());
    cr_assert(response);
    std::array<char, 1000> buf;
    co_await response->readBody(asio::buffer(buf));
    response->abandon();
    const auto afterwards = co_await response->readBody(asio::buffer(buf));
    cr_assert_not(afterwards);
}

asio::awaitable<void> readWhole(PeerPair& pair, std::size_t size, std::size_t& whole)
{
    auto response = co_await pair.client->exchange(pair.address, makeGet("/" + std::to_string(size)), farDeadline());
    cr_assert(response);
    const ReadOutcome body = co_await readAll(response->readBody, static_cast<unsigned>(size));
    cr_assert(!body.error && body.matches);
    cr_assert_eq(body.bytes, size);
    ++whole;
}

asio::awaitable<void> checkLateData(PeerPair& pair)
{
    constexpr std::size_t rounds = 100;
    std::size_t whole = 0;
    for (std::size_t k = 0; k < rounds; ++k) {
        asio::co_spawn(pair.io, readWhole(pair, 150000 + 7 * k, whole), asio::detached);
        co_await abandonLater(pair, 1000000 + k);
    }
    co_await waitUntil([&] { return whole >= rounds; });
    // Data of abandoned streams has given its window back: another large body still passes.
    co_await readWhole(pair, large, whole);
    cr_assert_eq(pair.client->openConnections(), 1);
    cr_assert_eq(pair.client->bufferedBytes().count(), 0);
}

// Guards against data of a cancelled stream that reaches another stream or uses up the connection's window.
Test(PeerFlow, keepsLateDataFromOtherStreams)
{
    PeerLimits limits;
    limits.connectionWindow = ByteCount(1024 * 1024);
    PeerPair pair(answerSizeInTarget, limits);
    runTest(pair.io, checkLateData(pair));
}

asio::awaitable<void> checkAddressFilter(PeerPair& pair, bool accepted)
{
    auto response = co_await pair.client->exchange(pair.address, makeGet("/"), farDeadline());
    cr_assert_eq(response.has_value(), accepted);
    cr_assert_eq(pair.server->counters().addressesRejected.load(), accepted ? 0 : 1);
}

const std::set<std::string> filterRows[] = { { "127.0.0.1" }, { "127.0.0.2", "127.0.0.3" }, {} };

// Guards against a peer port that serves hosts which are not members.
ParameterizedTestParameters(PeerFlow, servesAcceptedAddressesOnly) { return rowIndices(filterRows); }

ParameterizedTest(std::size_t* index, PeerFlow, servesAcceptedAddressesOnly)
{
    const std::set<std::string>& members = filterRows[*index];
    PeerPair pair(
        answerEmpty, {}, [&](const asio::ip::address& address) { return members.contains(address.to_string()); });
    runTest(pair.io, checkAddressFilter(pair, members.contains("127.0.0.1")));
}

asio::awaitable<void> checkShutdown(PeerPair& pair)
{
    // Two streams run: one whose body its reader takes slowly, one that is idle in the end.
    auto running = co_await pair.client->exchange(pair.address, makeGet("/" + std::to_string(large)), farDeadline());
    cr_assert(running);
    bool done = false;
    pair.server->shutdown([&] { done = true; });
    co_await sleepFor(std::chrono::milliseconds(20));
    auto late = co_await pair.client->exchange(pair.address, makeGet("/1"), farDeadline());
    cr_assert(!late && late.error().provenNotRun);
    cr_assert_not(done);
    const ReadOutcome body = co_await readAll(running->readBody, static_cast<unsigned>(large));
    cr_assert(!body.error && body.matches);
    cr_assert_eq(body.bytes, large);
    co_await waitUntil([&] { return done && pair.client->openConnections() == 0; });
    cr_assert_eq(pair.server->openConnections(), 0);
}

// Guards against a planned stop that cuts a running stream or takes a new one.
Test(PeerFlow, finishesRunningStreamsAtShutdown)
{
    PeerPair pair(answerSizeInTarget);
    runTest(pair.io, checkShutdown(pair));
}

asio::awaitable<void> checkExpired(PeerPair& pair, const std::size_t& runs, bool isConnected)
{
    std::size_t expectedRuns = 1;
    if (isConnected) {
        cr_assert(co_await pair.client->exchange(pair.address, makeGet("/"), farDeadline()));
        ++expectedRuns;
    }
    const auto past = std::chrono::steady_clock::now() - std::chrono::seconds(1);
    auto expired = co_await pair.client->exchange(pair.address, makeGet("/expired"), past);
    cr_assert(!expired && expired.error().provenNotRun);
    cr_assert_eq(expired.error().kind, ErrorKind::DeadlineExceeded);
    cr_assert(co_await pair.client->exchange(pair.address, makeGet("/"), farDeadline()));
    cr_assert_eq(runs, expectedRuns);
}

RequestHandler countRuns(std::size_t& runs)
{
    return [&](IncomingRequest request, ResponseWriter writer) -> asio::awaitable<void> {
        cr_assert(request.head.target == "/");
        ++runs;
        co_await answerPattern(writer, {}, 0, 0);
    };
}

const bool connectedRows[] = { false, true };

// Guards against a queued request that is sent after it was reported as not run.
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
    auto response = co_await pair.client->exchange(pair.address, std::move(request), farDeadline());
    cr_assert(response);
    cr_assert_eq(response->head.bodyLength.bytes.count(), 5000);
    const ReadOutcome body = co_await readAll(response->readBody, 0);
    cr_assert(!body.error);
    cr_assert_eq(body.bytes, 0);
}

// Guards against an answer to HEAD that is taken for a body cut short.
Test(PeerFlow, answersHeadWithoutBody)
{
    PeerPair pair(answerSizeInTarget);
    runTest(pair.io, checkHead(pair));
}

asio::awaitable<void> checkReopening(PeerPair& pair)
{
    for (int k = 0; k < 3; ++k) {
        auto response = co_await pair.client->exchange(pair.address, makeGet("/"), farDeadline());
        cr_assert(response);
        cr_assert_eq((co_await readAll(response->readBody, 0)).bytes, 0);
        pair.server.emplace(pair.io.get_executor(), PeerLimits {}, answerEmpty, acceptAll);
        cr_assert(pair.server->listen(pair.address));
        co_await waitUntil([&] { return pair.client->openConnections() == 0; });
    }
    cr_assert_eq(pair.client->counters().connectionsOpened.load(), 3);
    // Another traffic thread's server on the same port.
    PeerServer second(pair.io.get_executor(), {}, answerEmpty, acceptAll);
    cr_assert(second.listen(pair.address));
}

// Guards against a client that stays with a lost connection, and a port that only one thread can listen on.
Test(PeerFlow, opensConnectionAgainAfterLoss)
{
    PeerPair pair(answerEmpty);
    runTest(pair.io, checkReopening(pair));
}

asio::awaitable<void> startMany(PeerPair& pair, std::size_t& started)
{
    for (int k = 0; k < 5; ++k) {
        asio::co_spawn(pair.io, pair.client->exchange(pair.address, makeGet("/"), farDeadline()), asio::detached);
        auto large = makeRequest("/", streamed(), patternBody(1 << 30, 0));
        asio::co_spawn(pair.io, pair.client->exchange(pair.address, std::move(large), farDeadline()), asio::detached);
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

// Guards against a coroutine that outlives what it uses where a thread stops with streams in progress.
ParameterizedTestParameters(PeerFlow, stopsWithRunningStreams) { return rowIndices(drainRows); }

ParameterizedTest(std::size_t* index, PeerFlow, stopsWithRunningStreams)
{
    std::size_t started = 0;
    PeerPair pair(countAndWait(started));
    pair.drains = drainRows[*index];
    runTest(pair.io, startMany(pair, started));
}
