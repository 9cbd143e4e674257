#include "RawPeer.h"
#include "TableRows.h"

#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct SilentRow {
    const char* name;
    bool paysPing;
    bool leaves; // What the exchange's hook says.
    bool closes; // The peer closes the connection in place of an answer.
    std::vector<SilenceChange> (*changes)();
};

const SilentRow silentRows[] = {
    { "request leaves", true, true, false, [] { return std::vector { SilenceChange::Suspected }; } },
    { "request stays and is answered", true, false, false,
        [] {
            return std::vector { SilenceChange::Suspected, SilenceChange::Trusted };
        } },
    { "request stays, connection lost", true, false, true,
        [] {
            return std::vector { SilenceChange::Suspected, SilenceChange::Closed };
        } },
    { "PING not paid for", false, true, false, [] { return std::vector<SilenceChange> {}; } },
};

namespace {

// What a client with the row's hooks saw.
struct Watched {
    std::size_t asked = 0; // For the payment of a PING.
    std::vector<SilenceChange> changes;
    bool wasReset = false; // The peer received a reset of the stream.
};

// Answers neither the request nor the PING until the client has made up its mind.
asio::awaitable<void> serveSilently(asio::ip::tcp::acceptor& acceptor, const SilentRow& row, Watched& watched)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, raw::preface.size()> start;
    co_await asio::async_read(socket, asio::buffer(start), useTuple);
    co_await raw::readUntil(socket, raw::Headers, 1);
    if (row.paysPing)
        co_await raw::readUntil(socket, raw::Ping, 0);
    // Several ticks that ask for the payment.
    co_await waitUntil([&] { return row.paysPing ? !watched.changes.empty() : watched.asked >= 30; });
    if (row.paysPing && row.leaves) {
        const auto frame = co_await raw::readUntil(socket, raw::RstStream, 1);
        watched.wasReset = frame.has_value();
    } else if (!row.closes) {
        co_await raw::send(socket, raw::settings() + raw::response(1, raw::endStream));
    }
    // Keeps the connection open.
    if (!row.closes)
        co_await raw::readUntil(socket, raw::Settings, 99);
}

asio::awaitable<void> checkSilence(asio::io_context& io, const SilentRow& row)
{
    Watched watched;
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
    asio::co_spawn(io, serveSilently(acceptor, row, watched), asio::detached);
    PeerClient client(io.get_executor(), {});
    const NetworkAddress address { "127.0.0.1", acceptor.local_endpoint().port() };
    SilenceHooks hooks;
    hooks.payForPing = [&](bool isRepeated) {
        cr_assert_eq(isRepeated, watched.asked++ > 0, "%s", row.name);
        return row.paysPing;
    };
    hooks.changed = [&](const NetworkAddress& peer, SilenceChange change) {
        cr_assert(peer == address);
        watched.changes.push_back(change);
    };
    client.detectSilence(hooks);
    const LeaveSuspected leave = [&](bool mayHaveRun) {
        cr_assert(mayHaveRun && client.isSuspected(address), "%s", row.name);
        return row.leaves;
    };
    auto response = co_await client.exchange(address, makeGet("/"), farDeadline(), leave);
    const bool hasLeft = row.paysPing && row.leaves;
    cr_assert_eq(response.has_value(), !hasLeft && !row.closes, "%s", row.name);
    cr_assert(response || !response.error().provenNotRun, "%s", row.name);
    cr_assert_eq(client.isSuspected(address), hasLeft, "%s", row.name);
    co_await waitUntil([&] { return watched.wasReset == hasLeft; });
    cr_assert(watched.changes == row.changes(), "%s: %zu changes", row.name, watched.changes.size());
}

} // namespace

// Guards against a request that is held by a frozen peer, or given up without a reset, and against a suspicion that is
// raised without a PING, or that does not end.
ParameterizedTestParameters(PeerSilence, isSuspectedAndTrusted) { return rowIndices(silentRows); }

ParameterizedTest(std::size_t* index, PeerSilence, isSuspectedAndTrusted)
{
    asio::io_context io;
    runTest(io, checkSilence(io, silentRows[*index]));
}
