#include "dogwoodhall/exchange/Acceptor.h"
#include "dogwoodhall/exchange/AsioAddress.h"

#include "TableRows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <sys/resource.h>
#include <utility>
#include <vector>

using namespace dogwoodhall;

namespace {

const NetworkAddress ephemeralAddress { IpAddress::loopback(), 0 };

// Prevents the process from opening file descriptors during its lifetime.
class ScopedDescriptorExhaustion {
public:
    ScopedDescriptorExhaustion()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_previous);
        const rlimit none { 0, m_previous.rlim_max };
        ::setrlimit(RLIMIT_NOFILE, &none);
    }
    ScopedDescriptorExhaustion(const ScopedDescriptorExhaustion&) = delete;
    ScopedDescriptorExhaustion& operator=(const ScopedDescriptorExhaustion&) = delete;
    ~ScopedDescriptorExhaustion() { ::setrlimit(RLIMIT_NOFILE, &m_previous); }

private:
    rlimit m_previous {};
};

// An acceptor on its own event loop and the number of connections it has accepted.
struct Fixture {
    explicit Fixture(Acceptor::HasRoom hasRoom = nullptr)
        : acceptor(io.get_executor())
        , address(acceptor.listen(ephemeralAddress, PortSharing::Exclusive).value())
    {
        auto handleConnection = [this](asio::ip::tcp::socket) { ++accepted; };
        asio::co_spawn(io, acceptor.run(std::move(handleConnection), std::move(hasRoom)), asio::detached);
        // UndefinedBehaviorSanitizer opens a pipe when it first checks a type, and reports a false error if that fails.
        // Polling here lets it do so while file descriptors are available.
        io.poll();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(io);
        socket.connect(toEndpoint(address));
        return socket;
    }

    asio::io_context io;
    Acceptor acceptor;
    NetworkAddress address;
    std::size_t accepted = 0;
};

} // namespace

struct SharingRow {
    PortSharing first;
    PortSharing second;
    bool bothListen;
};

const SharingRow sharingRows[] = {
    { PortSharing::Exclusive, PortSharing::Exclusive, false },
    { PortSharing::Exclusive, PortSharing::Shared, false },
    { PortSharing::Shared, PortSharing::Exclusive, false },
    { PortSharing::Shared, PortSharing::Shared, true },
};

// Guards against two processes sharing a port by mistake, and against traffic threads being unable to share one.
ParameterizedTestParameters(Acceptor, sharesPortOnlyWhenRequested) { return rowIndices(sharingRows); }

ParameterizedTest(std::size_t* index, Acceptor, sharesPortOnlyWhenRequested)
{
    const auto& row = sharingRows[*index];
    asio::io_context io;
    Acceptor first(io.get_executor());
    const auto bound = first.listen(ephemeralAddress, row.first);
    cr_assert(bound.has_value());
    cr_assert_neq(bound->port, 0);
    Acceptor second(io.get_executor());
    const auto again = second.listen(*bound, row.second);
    cr_assert_eq(again.has_value(), row.bothListen, "row %zu", *index);
    if (!again)
        cr_assert(again.error().starts_with("cannot listen on " + toString(*bound)));
}

// Guards against an address of another host terminating the process without an error message. Malformed addresses
// cannot be represented; see NetworkAddressTest.
Test(Acceptor, reportsAddressOfAnotherHost)
{
    asio::io_context io;
    Acceptor acceptor(io.get_executor());
    cr_assert_not(acceptor.listen({ IpAddress::v4(192, 0, 2, 1), 80 }, PortSharing::Exclusive).has_value());
}

// Guards against a loop that saturates a core while no file descriptors are left, and against one that never accepts
// again afterwards. The test bounds the number of event handlers run rather than the time, so that it does not fail on
// a busy machine; a loop without a delay runs thousands of handlers in 300 ms.
Test(Acceptor, pausesWhileItCannotAccept)
{
    Fixture fixture;
    const auto client = fixture.connect();
    std::size_t handlers = 0;
    {
        // Criterion cannot report a failed assertion without file descriptors.
        const ScopedDescriptorExhaustion exhaustion;
        handlers = fixture.io.run_for(std::chrono::milliseconds(300));
    }
    cr_assert_lt(handlers, 40, "%zu handlers", handlers);
    cr_assert_eq(fixture.accepted, 0);
    while (fixture.accepted == 0)
        fixture.io.run_one();
}

struct BacklogRow {
    const char* name;
    bool asksForRoom;
    std::size_t room; // For connections after the first.
    std::size_t connections;
    std::size_t accepted; // Before another handler may run.
};

const BacklogRow backlogRows[] = {
    { "one in a round", false, 0, 5, 1 },
    { "no room for more", true, 0, 5, 1 },
    { "room for some", true, 3, 5, 4 },
    { "room for all", true, 100, 5, 5 },
    { "more than one round takes", true, 1000, 100, 64 },
};

// Guards against a caller behind a crowd that waits for a round of the event loop for each connection before its own,
// and against a crowd that keeps the loop from running other handlers.
ParameterizedTestParameters(Acceptor, acceptsWhatHasArrived) { return rowIndices(backlogRows); }

ParameterizedTest(std::size_t* index, Acceptor, acceptsWhatHasArrived)
{
    const auto& row = backlogRows[*index];
    std::size_t room = row.room;
    auto hasRoom = [&room] {
        if (room == 0)
            return false;
        --room;
        return true;
    };
    Fixture fixture(row.asksForRoom ? Acceptor::HasRoom(hasRoom) : nullptr);
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t n = 0; n < row.connections; ++n)
        callers.push_back(fixture.connect());
    while (fixture.accepted == 0)
        fixture.io.run_one();
    cr_expect_eq(fixture.accepted, row.accepted, "%s: %zu", row.name, fixture.accepted);
    while (fixture.accepted < row.connections)
        fixture.io.run_one();
}

struct CloseRow {
    const char* name;
    bool isPausing; // After an error.
};

const CloseRow closeRows[] = { { "while it waits for a connection", false }, { "while it pauses", true } };

// Guards against an acceptor that keeps running after its owner has closed it.
ParameterizedTestParameters(Acceptor, endsWhenClosed) { return rowIndices(closeRows); }

ParameterizedTest(std::size_t* index, Acceptor, endsWhenClosed)
{
    Fixture fixture;
    const auto client = fixture.connect();
    if (closeRows[*index].isPausing) {
        const ScopedDescriptorExhaustion exhaustion;
        fixture.io.run_for(std::chrono::milliseconds(20));
    } else {
        fixture.io.poll();
    }
    fixture.acceptor.close();
    fixture.io.run();
    cr_assert_eq(fixture.accepted, closeRows[*index].isPausing ? 0 : 1, "%s", closeRows[*index].name);
}

// Guards against handling a connection after the port was closed: a stopping process that has already counted its
// connections would exit while the request of the late connection runs. The second connection is accepted as soon as
// the first is handled, and its completion is queued behind the handler that closes the port.
Test(Acceptor, acceptsNothingAfterClose)
{
    asio::io_context io;
    Acceptor acceptor(io.get_executor());
    const auto address = acceptor.listen(ephemeralAddress, PortSharing::Exclusive).value();
    std::size_t accepted = 0;
    const auto handleConnection = [&](asio::ip::tcp::socket) {
        ++accepted;
        asio::post(io, [&] { acceptor.close(); });
    };
    asio::co_spawn(io, acceptor.run(handleConnection), asio::detached);
    io.poll();
    asio::io_context callerIo;
    std::vector<asio::ip::tcp::socket> callers;
    for (int n = 0; n < 2; ++n) {
        callers.emplace_back(callerIo);
        callers.back().connect(toEndpoint(address));
    }
    io.run();
    cr_assert_eq(accepted, 1, "%zu accepted", accepted);
}
