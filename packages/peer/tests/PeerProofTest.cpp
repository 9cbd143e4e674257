#include "RawPeer.h"
#include "TableRows.h"

#include <criterion/parameterized.h>
#include <map>

using namespace dogwoodhall;

namespace {

PeerLimits shortLimits()
{
    PeerLimits limits;
    limits.pingInterval = std::chrono::milliseconds(50);
    limits.pingTimeout = std::chrono::milliseconds(150);
    return limits;
}

enum class After { Close, KeepOpen, Freeze, FreezeBeyondDeadline };

std::string nothing() { return {}; }
std::string interimHead()
{
    return raw::response(1, 0,
        "\x08\x03"
        "103");
}

} // namespace

struct ProofRow {
    const char* name;
    std::string (*answer)(); // What the server sends once it has the head of stream 1.
    After after;
    bool provenNotRun;
};

const ProofRow proofRows[] = {
    { "refused stream", [] { return raw::reset(1, 7); }, After::KeepOpen, true },
    { "refused after an interim head", [] { return interimHead() + raw::reset(1, 7); }, After::KeepOpen, true },
    { "stream reset for another reason", [] { return raw::reset(1, 2); }, After::KeepOpen, false },
    { "stream above the last of GOAWAY", [] { return raw::goaway(0, 0); }, After::KeepOpen, true },
    { "the same, and the connection is cut", [] { return raw::goaway(0, 0); }, After::Close, true },
    { "stream within GOAWAY, cut", [] { return raw::goaway(1, 0); }, After::Close, false },
    { "cut after the request was sent", nothing, After::Close, false },
    { "frozen peer", nothing, After::Freeze, false },
    { "deadline", nothing, After::FreezeBeyondDeadline, false },
    { "random bytes", [] { return std::string(300, '\x5a'); }, After::KeepOpen, false },
    { "oversized head", [] { return raw::response(1, 0, raw::status200 + raw::oversizedFields()); }, After::KeepOpen,
        false },
    { "head without status", [] { return raw::response(1, 0, raw::field("x-a", "a")); }, After::KeepOpen, false },
    { "truncated frame", [] { return raw::response(1, 0).substr(0, 9); }, After::Close, false },
    { "DATA before a head", [] { return raw::data(1, 10); }, After::KeepOpen, false },
};

// Accepts one connection, answers the first request as the row says.
asio::awaitable<void> serveRaw(asio::ip::tcp::acceptor& acceptor, const ProofRow& row)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, raw::preface.size()> start;
    co_await asio::async_read(socket, asio::buffer(start), useTuple);
    co_await raw::readUntil(socket, raw::Headers, 1);
    if (row.after == After::Freeze || row.after == After::FreezeBeyondDeadline) {
        co_await sleepFor(testTimeout);
        co_return;
    }
    co_await raw::send(socket, raw::settings() + row.answer());
    if (row.after == After::KeepOpen)
        co_await raw::readUntil(socket, raw::Settings, 99);
}

asio::awaitable<void> checkProof(asio::io_context& io, const ProofRow& row)
{
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
    asio::co_spawn(io, serveRaw(acceptor, row), asio::detached);
    // The default limits find a frozen peer only after the deadline.
    PeerClient client(io.get_executor(), row.after == After::FreezeBeyondDeadline ? PeerLimits {} : shortLimits());
    const NetworkAddress address { "127.0.0.1", acceptor.local_endpoint().port() };
    const bool meetsDeadline = row.after != After::FreezeBeyondDeadline;
    const auto deadline
        = meetsDeadline ? farDeadline() : std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
    auto response = co_await client.exchange(address, makeGet("/"), deadline);
    cr_assert_not(response, "%s", row.name);
    const ErrorKind kind = meetsDeadline ? ErrorKind::PeerFailed : ErrorKind::DeadlineExceeded;
    cr_assert_eq(response.error().kind, kind, "%s: %s", row.name, response.error().detail.c_str());
    cr_assert_eq(response.error().provenNotRun, row.provenNotRun, "%s", row.name);
}

// Guards against a wrong proof: a false one makes a request run twice, a missing one leaves a caller in doubt.
ParameterizedTestParameters(PeerProof, holdsOnlyWhereNothingRan) { return rowIndices(proofRows); }

ParameterizedTest(std::size_t* index, PeerProof, holdsOnlyWhereNothingRan)
{
    asio::io_context io;
    runTest(io, checkProof(io, proofRows[*index]));
}

asio::awaitable<void> checkRefusedConnection(asio::io_context& io)
{
    NetworkAddress address { "127.0.0.1", 0 };
    {
        asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
        address.port = acceptor.local_endpoint().port();
    }
    PeerClient client(io.get_executor(), {});
    auto response = co_await client.exchange(address, makeGet("/"), farDeadline());
    cr_assert(!response && response.error().provenNotRun);
    address.ip = "not an address";
    response = co_await client.exchange(address, makeGet("/"), farDeadline());
    cr_assert(!response && response.error().provenNotRun);
}

// Guards against a request reported as possibly run although no connection to the peer was made.
Test(PeerProof, holdsWithoutConnection)
{
    asio::io_context io;
    runTest(io, checkRefusedConnection(io));
}

// Allows one stream at a time; cuts the connection once the client knows this and the first request has arrived.
asio::awaitable<void> serveOneOfTwo(asio::ip::tcp::acceptor& acceptor, std::function<void()> onLimitKnown)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    co_await raw::send(socket, raw::maxConcurrentStreams(1));
    std::array<char, raw::preface.size()> start;
    co_await asio::async_read(socket, asio::buffer(start), useTuple);
    co_await raw::readUntil(socket, raw::Headers, 1);
    co_await raw::readUntil(socket, raw::Settings, 0); // The acknowledgement.
    onLimitKnown();
    co_await sleepFor(std::chrono::milliseconds(20));
}

asio::awaitable<void> checkQueuedRequest(asio::io_context& io)
{
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
    PeerClient client(io.get_executor(), {});
    const NetworkAddress address { "127.0.0.1", acceptor.local_endpoint().port() };
    std::map<int, ExchangeError> errors;
    auto sendOne = [&](int number) -> asio::awaitable<void> {
        auto response = co_await client.exchange(address, makeGet("/"), farDeadline());
        errors[number] = response.error();
    };
    auto sendSecond = [&] { asio::co_spawn(io, sendOne(2), asio::detached); };
    asio::co_spawn(io, serveOneOfTwo(acceptor, sendSecond), asio::detached);
    asio::co_spawn(io, sendOne(1), asio::detached);
    co_await waitUntil([&] { return errors.size() == 2; });
    cr_assert_not(errors[1].provenNotRun);
    cr_assert(errors[2].provenNotRun);
}

// Guards against a queued request taken for one that was sent when its connection is cut.
Test(PeerProof, holdsForRequestQueuedBehindStreamLimit)
{
    asio::io_context io;
    runTest(io, checkQueuedRequest(io));
}
