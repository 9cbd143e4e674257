#include "TableRows.h"

#include "dogwoodhall/http/CallerSessions.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

using namespace dogwoodhall;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds maxRunTime { 500 };

// A caller whose request has arrived before its session starts reading, and a server that counts handled requests.
class SessionFixture {
public:
    SessionFixture()
        : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_caller(m_callerIo)
        , m_sessions(m_io.get_executor(), CallerLimits {},
              [this](IncomingRequest, const ResponseWriter& writer) { return handle(writer); })
    {
        m_caller.connect(m_acceptor.local_endpoint());
        asio::write(m_caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: shop\r\n\r\n")));
        m_sessions.serve(m_acceptor.accept());
    }

    void step()
    {
        if (m_io.poll_one() == 0)
            m_io.restart();
    }
    void stop() { m_sessions.stopAfterCurrentRequests(); }
    std::string finish()
    {
        m_io.restart();
        m_io.run_for(maxRunTime);
        std::string response;
        boost::system::error_code ec;
        m_caller.shutdown(tcp::socket::shutdown_send, ec);
        m_io.restart();
        m_io.run_for(maxRunTime);
        asio::read(m_caller, asio::dynamic_buffer(response), ec);
        return response;
    }
    int handled() const { return m_handled; }

private:
    asio::awaitable<void> handle(const ResponseWriter& writer)
    {
        ++m_handled;
        ResponseHead head;
        head.status = 204;
        co_await writer.writeHead(head);
        co_await writer.finish();
    }

    asio::io_context m_io;
    asio::io_context m_callerIo;
    tcp::acceptor m_acceptor;
    tcp::socket m_caller;
    CallerSessions m_sessions;
    int m_handled = 0;
};

} // namespace

struct StopRow {
    int steps; // Event loop handlers run before the stop.
};

const StopRow stopRows[] = { { 0 }, { 1 }, { 2 }, { 3 }, { 4 }, { 5 }, { 6 }, { 7 }, { 8 } };

// Guards against a stop that treats a connection as idle although its request has been read: the request was handled
// but its response could not be delivered.
ParameterizedTestParameters(CallerSessions, respondsToEveryHandledRequest) { return rowIndices(stopRows); }

ParameterizedTest(std::size_t* index, CallerSessions, respondsToEveryHandledRequest)
{
    SessionFixture fixture;
    for (int n = 0; n < stopRows[*index].steps; ++n)
        fixture.step();
    fixture.stop();
    const auto response = fixture.finish();
    const bool hasResponse = response.starts_with("HTTP/1.1 204");
    cr_expect_eq(hasResponse, fixture.handled() == 1, "after %d steps: handled %d, got \"%s\"", stopRows[*index].steps,
        fixture.handled(), response.c_str());
}
