#include "dogwoodhall/exchange/Acceptor.h"

#include "TableRows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <sys/resource.h>
#include <vector>

using namespace dogwoodhall;

namespace {

const NetworkAddress kernelChosen { "127.0.0.1", 0 };

// While it exists, the process can open no file descriptor.
class NoDescriptors {
public:
    NoDescriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        const rlimit none { 0, m_former.rlim_max };
        ::setrlimit(RLIMIT_NOFILE, &none);
    }
    NoDescriptors(const NoDescriptors&) = delete;
    NoDescriptors& operator=(const NoDescriptors&) = delete;
    ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &m_former); }

private:
    rlimit m_former {};
};

// An acceptor on an event loop of its own, and a count of what it accepted.
struct Fixture {
    Fixture()
        : acceptor(io.get_executor())
        , address(acceptor.listen(kernelChosen, PortSharing::Exclusive).value())
    {
        asio::co_spawn(io, acceptor.run([this](asio::ip::tcp::socket) { ++accepted; }), asio::detached);
        // The undefined behaviour sanitizer checks a type with a pipe when it first meets it; a test that does so
        // without file descriptors gets a false report.
        io.poll();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(io);
        socket.connect({ asio::ip::make_address(address.ip), address.port });
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

// Guards against two processes that share a port by mistake, and against traffic threads that cannot.
ParameterizedTestParameters(Acceptor, sharesAPortOnlyWhenAsked) { return rowIndices(sharingRows); }

ParameterizedTest(std::size_t* index, Acceptor, sharesAPortOnlyWhenAsked)
{
    const auto& row = sharingRows[*index];
    asio::io_context io;
    Acceptor first(io.get_executor());
    const auto bound = first.listen(kernelChosen, row.first);
    cr_assert(bound.has_value());
    cr_assert_neq(bound->port, 0);
    Acceptor second(io.get_executor());
    const auto again = second.listen(*bound, row.second);
    cr_assert_eq(again.has_value(), row.bothListen, "row %zu", *index);
    if (!again)
        cr_assert(again.error().starts_with("cannot listen on " + toString(*bound)));
}

// Guards against a malformed address that ends the process without a reason.
Test(Acceptor, reportsAMalformedAddress)
{
    asio::io_context io;
    Acceptor acceptor(io.get_executor());
    cr_assert_not(acceptor.listen({ "1.2.3", 80 }, PortSharing::Exclusive).has_value());
}

// Guards against a loop that takes a whole core while no file descriptor is left, and against one that then stops
// accepting for good. The number of event handlers run is bounded, and not the time, so that a busy machine cannot
// fail the test; a loop without a pause runs thousands in 300 ms.
Test(Acceptor, pausesWhileItCannotAccept)
{
    Fixture fixture;
    const auto client = fixture.connect();
    std::size_t handlers = 0;
    {
        // Criterion cannot report a failed assertion without file descriptors.
        const NoDescriptors limit;
        handlers = fixture.io.run_for(std::chrono::milliseconds(300));
    }
    cr_assert_lt(handlers, 40, "%zu handlers", handlers);
    cr_assert_eq(fixture.accepted, 0);
    while (fixture.accepted == 0)
        fixture.io.run_one();
}

struct CloseRow {
    const char* name;
    bool isPausing; // After an error.
};

const CloseRow closeRows[] = { { "while it waits for a connection", false }, { "while it pauses", true } };

// Guards against an acceptor whose run goes on after its owner has closed it.
ParameterizedTestParameters(Acceptor, endsWhenClosed) { return rowIndices(closeRows); }

ParameterizedTest(std::size_t* index, Acceptor, endsWhenClosed)
{
    Fixture fixture;
    const auto client = fixture.connect();
    if (closeRows[*index].isPausing) {
        const NoDescriptors limit;
        fixture.io.run_for(std::chrono::milliseconds(20));
    } else {
        fixture.io.poll();
    }
    fixture.acceptor.close();
    fixture.io.run();
    cr_assert_eq(fixture.accepted, closeRows[*index].isPausing ? 0 : 1, "%s", closeRows[*index].name);
}

// Guards against a connection that is taken after the port was closed: a stopping process had counted its connections
// and ended while the request of the late one ran. The second connection is accepted as soon as the first is taken, and
// its handler waits behind the one that closes the port.
Test(Acceptor, takesNothingOnceClosed)
{
    asio::io_context io;
    Acceptor acceptor(io.get_executor());
    const auto address = acceptor.listen(kernelChosen, PortSharing::Exclusive).value();
    std::size_t accepted = 0;
    const auto take = [&](asio::ip::tcp::socket) {
        ++accepted;
        asio::post(io, [&] { acceptor.close(); });
    };
    asio::co_spawn(io, acceptor.run(take), asio::detached);
    io.poll();
    asio::io_context callerIo;
    std::vector<asio::ip::tcp::socket> callers;
    for (int n = 0; n < 2; ++n) {
        callers.emplace_back(callerIo);
        callers.back().connect({ asio::ip::make_address(address.ip), address.port });
    }
    io.run();
    cr_assert_eq(accepted, 1, "%zu taken", accepted);
}
