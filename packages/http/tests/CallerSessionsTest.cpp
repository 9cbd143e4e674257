#include "TableRows.h"

#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/WholeBody.h"
#include "dogwoodhall/http/CallerSessions.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

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

namespace {

asio::awaitable<void> failFirst(bool isFirst, bool throwsAfterHead, const ResponseWriter& writer)
{
    if (isFirst && !throwsAfterHead)
        throw std::runtime_error("bad request");
    ResponseHead head;
    head.status = 204;
    co_await writer.writeHead(head);
    if (isFirst)
        throw std::runtime_error("bad request");
    co_await writer.finish();
}

asio::awaitable<void> readAndRefuse(IncomingRequest request, const ResponseWriter& writer)
{
    const auto body = co_await readFullBody(request.readBody, ByteCount(1'000'000));
    co_await writeError(writer, body ? ErrorKind::Internal : body.error().kind, Outcome::NotRun);
}

} // namespace

struct BrokenHandlerRow {
    const char* name;
    bool throwsAfterHead;
};

const BrokenHandlerRow brokenHandlerRows[] = {
    { "before the response", false },
    { "after the response head", true },
};

// Guards against an exception of one request that ends the process, keeps the connection open, or makes a drain wait
// for good.
ParameterizedTestParameters(CallerSessions, closeAfterAnException) { return rowIndices(brokenHandlerRows); }

ParameterizedTest(std::size_t* index, CallerSessions, closeAfterAnException)
{
    const auto& row = brokenHandlerRows[*index];
    asio::io_context io { 1 };
    int requests = 0;
    int ended = 0;
    std::vector<std::string> exceptions;
    CallerSessions sessions(
        io.get_executor(), CallerLimits {},
        [&](IncomingRequest, const ResponseWriter& writer) {
            return failFirst(++requests == 1, row.throwsAfterHead, writer);
        },
        [&] { ++ended; });
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto callOnce = [&] {
        tcp::socket caller(io);
        caller.connect(acceptor.local_endpoint());
        asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n")));
        caller.shutdown(tcp::socket::shutdown_send);
        sessions.serve(acceptor.accept());
        io.restart();
        runEventLoop(io, [&](std::string_view text) { exceptions.emplace_back(text); });
        std::string response;
        boost::system::error_code ec;
        asio::read(caller, asio::dynamic_buffer(response), ec);
        return response;
    };
    callOnce();
    cr_expect(sessions.empty() && ended == 1, "%s: %d sessions ended", row.name, ended);
    cr_assert_eq(exceptions.size(), 1, "%s: %zu exceptions", row.name, exceptions.size());
    cr_expect_eq(exceptions.front(), "bad request", "%s", row.name);
    cr_expect(callOnce().starts_with("HTTP/1.1 204"), "%s", row.name);
    cr_expect(sessions.empty() && ended == 2, "%s: %d sessions ended", row.name, ended);
}

namespace {

// One caller's connection to a server that responds to each request with the size of its body. Everything runs on the
// thread of the test.
class EchoFixture {
public:
    explicit EchoFixture(const CallerLimits& limits = {}, CallerSessions::Hooks hooks = {})
        : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_caller(m_io)
        , sessions(
              m_io.get_executor(), limits, CallerShares {},
              [](IncomingRequest request, const ResponseWriter& writer) {
                  return respondWithSize(std::move(request), writer);
              },
              std::move(hooks))
    {
        m_caller.connect(m_acceptor.local_endpoint());
        m_caller.set_option(tcp::no_delay(true));
        sessions.serve(m_acceptor.accept());
        run();
    }

    // Returns after the session has read the bytes.
    void send(std::string_view bytes)
    {
        boost::system::error_code ec;
        asio::write(m_caller, asio::buffer(bytes), ec);
        run();
    }
    void runFor(std::chrono::milliseconds time)
    {
        m_io.restart();
        m_io.run_for(time);
    }
    // What the session has sent since the last call.
    std::string received()
    {
        run();
        std::string text;
        while (m_caller.available() > 0) {
            std::array<char, 4096> buf;
            text.append(buf.data(), m_caller.read_some(asio::buffer(buf)));
        }
        return text;
    }

private:
    static asio::awaitable<void> respondWithSize(IncomingRequest request, const ResponseWriter& writer)
    {
        const auto body = co_await readFullBody(request.readBody, ByteCount(1'000'000));
        if (!body) {
            co_await writeError(writer, body.error().kind, Outcome::NotRun);
            co_return;
        }
        ResponseHead head;
        head.status = 200;
        const std::string text = request.head.method + " " + std::to_string(body->size()) + "\n";
        co_await writeFullResponse(writer, head, text);
    }

    void run()
    {
        m_io.restart();
        while (m_io.poll() > 0)
            m_io.restart();
    }

    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    tcp::socket m_caller;

public:
    CallerSessions sessions;
};

// A request whose head has this size, or is as short as possible if it is 0.
std::string postOf(std::size_t headBytes, const std::string& body)
{
    std::string head = "POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (headBytes > 0) {
        head += "X-Field: ";
        head += std::string(headBytes - head.size() - 4, 'v') + "\r\n";
    }
    return head + "\r\n" + body;
}

std::size_t count(const std::string& text, std::string_view part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++n;
    return n;
}

} // namespace

struct SegmentRow {
    const char* name;
    const char* before; // Sent before the request.
    std::size_t headBytes;
    const char* body;
    bool isPipelined; // The request is followed by another one.
};

// Longer than the head's last line, so that a search beyond the head would find line ends in it.
#define BODY_WITH_LINES "one\ntwo\r\n\r\n three\n"

const SegmentRow segmentRows[] = {
    { "no body", "", 0, "", false },
    { "body", "", 0, "body", false },
    { "body with line feeds", "", 0, BODY_WITH_LINES, false },
    { "pipelined", "", 0, BODY_WITH_LINES, true },
    { "after empty lines", "\r\n\r\n", 0, "body", false },
    { "head of one read", "", 4096, BODY_WITH_LINES, false },
    { "head of one read and a byte", "", 4097, BODY_WITH_LINES, false },
    { "head of one read and two bytes", "", 4098, BODY_WITH_LINES, false },
    { "head of one read and four bytes", "", 4100, BODY_WITH_LINES, false },
    { "head of two reads and a byte", "", 8193, BODY_WITH_LINES, true },
};

// Guards against a head that is read wrongly if its bytes arrive in several parts: the empty line at its end was taken
// for one before a request.
ParameterizedTestParameters(CallerSessions, serveRequestsInAnyParts) { return rowIndices(segmentRows); }

ParameterizedTest(std::size_t* index, CallerSessions, serveRequestsInAnyParts, .timeout = 60)
{
    // The borders near these positions are tried: all of a short request, and those around each read of a long one.
    constexpr std::size_t readBytes = 4096;
    constexpr std::size_t distance = 8;
    const auto& row = segmentRows[*index];
    const auto request = row.before + postOf(row.headBytes, row.body);
    const auto text = request + (row.isPipelined ? postOf(0, "next") : "");
    const std::size_t requests = row.isPipelined ? 2 : 1;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const auto isNear = [&](std::size_t border) { return at + distance > border && at < border + distance; };
        const bool isTried = row.headBytes == 0 || at == 0 || isNear(readBytes) || isNear(2 * readBytes)
            || isNear(row.headBytes) || isNear(request.size());
        if (!isTried)
            continue;
        EchoFixture fixture;
        fixture.send(std::string_view(text).substr(0, at));
        fixture.send(std::string_view(text).substr(at));
        const auto response = fixture.received();
        cr_assert_eq(
            count(response, "HTTP/1.1 200"), requests, "%s, in two parts at %zu: %s", row.name, at, response.c_str());
        const auto body = "POST " + std::to_string(std::string_view(row.body).size()) + "\n";
        cr_assert_eq(count(response, body), 1, "%s, in two parts at %zu: %s", row.name, at, response.c_str());
    }
}

struct SmuggledRow {
    const char* name;
    const char* text;
};

const SmuggledRow smuggledRows[] = {
    { "line feed alone", "GET / HTTP/1.1\nHost: shop\r\n\r\n" },
    { "line feed alone in a field", "GET / HTTP/1.1\r\nHost: shop\nX: y\r\n\r\n" },
    { "line feed alone at the end", "GET / HTTP/1.1\r\nHost: shop\r\nX: y\r\n\n" },
    { "continued line", "GET / HTTP/1.1\r\nHost: shop\r\nX: y\r\n z\r\n\r\n" },
    { "continued line with a tab", "GET / HTTP/1.1\r\nHost: shop\r\nX: y\r\n\tz\r\n\r\n" },
    { "empty line that ends in a line feed", "\nGET / HTTP/1.1\r\nHost: shop\r\n\r\n" },
};

// Guards against a malformed line end that is accepted because the parts of the head arrive one after another.
ParameterizedTestParameters(CallerSessions, rejectBadLineEndsInAnyParts) { return rowIndices(smuggledRows); }

ParameterizedTest(std::size_t* index, CallerSessions, rejectBadLineEndsInAnyParts, .timeout = 60)
{
    const auto& row = smuggledRows[*index];
    const std::string_view text = row.text;
    for (std::size_t at = 0; at < text.size(); ++at) {
        EchoFixture fixture;
        fixture.send(text.substr(0, at));
        fixture.send(text.substr(at));
        const auto response = fixture.received();
        cr_assert(response.starts_with("HTTP/1.1 400"), "%s, in two parts at %zu: %s", row.name, at, response.c_str());
    }
}

struct ChangedLimitsRow {
    const char* name;
    CallerLimits before;
    CallerLimits after;
    std::size_t headBytes;
    std::size_t bodyBytes;
    std::chrono::milliseconds idle; // Between the change and the request.
    const char* response; // Empty: the connection is closed.
};

CallerLimits limitsOf(std::uint64_t headerBytes, std::uint64_t bodyBytes, std::chrono::milliseconds idleTimeout)
{
    CallerLimits limits;
    limits.headerBytes = ByteCount(headerBytes);
    limits.bodyBytes = ByteCount(bodyBytes);
    limits.idleTimeout = idleTimeout;
    return limits;
}

constexpr std::chrono::milliseconds shortIdle { 200 };
constexpr std::chrono::milliseconds longIdle { 20'000 };
constexpr std::chrono::milliseconds pastShortIdle { 400 };

const ChangedLimitsRow changedLimitsRows[] = {
    { "larger bodies", limitsOf(16'384, 1'000, longIdle), limitsOf(16'384, 50'000, longIdle), 0, 20'000, {},
        "HTTP/1.1 200" },
    { "smaller bodies", limitsOf(16'384, 50'000, longIdle), limitsOf(16'384, 1'000, longIdle), 0, 20'000, {},
        "HTTP/1.1 413" },
    { "longer heads", limitsOf(1'000, 50'000, longIdle), limitsOf(40'000, 50'000, longIdle), 30'000, 4, {},
        "HTTP/1.1 200" },
    { "shorter heads", limitsOf(40'000, 50'000, longIdle), limitsOf(1'000, 50'000, longIdle), 3'000, 4, {},
        "HTTP/1.1 431" },
    { "longer idle time", limitsOf(16'384, 50'000, shortIdle), limitsOf(16'384, 50'000, longIdle), 0, 4, pastShortIdle,
        "HTTP/1.1 200" },
    { "shorter idle time", limitsOf(16'384, 50'000, longIdle), limitsOf(16'384, 50'000, shortIdle), 0, 4, pastShortIdle,
        "" },
};

// Guards against connections that keep the limits of the time at which they were opened: a request that the
// configuration in force allows was refused for as long as its caller kept its connection.
ParameterizedTestParameters(CallerSessions, applyChangedLimitsToOpenConnections)
{
    return rowIndices(changedLimitsRows);
}

ParameterizedTest(std::size_t* index, CallerSessions, applyChangedLimitsToOpenConnections, .timeout = 60)
{
    const auto& row = changedLimitsRows[*index];
    EchoFixture fixture(row.before);
    fixture.send(postOf(0, "first"));
    const auto first = fixture.received();
    cr_assert(first.starts_with("HTTP/1.1 200"), "%s: %s", row.name, first.c_str());
    fixture.sessions.setLimits(row.after);
    fixture.runFor(row.idle);
    fixture.send(postOf(row.headBytes, std::string(row.bodyBytes, 'b')));
    const auto second = fixture.received();
    const std::string expected = row.response;
    cr_expect(second.starts_with(expected) && second.empty() == expected.empty(), "%s: %s", row.name, second.c_str());
}

#define POST_CHUNKED "POST / HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n"

namespace {

CallerLimits lowLimits()
{
    auto limits = limitsOf(1'000, 1'000, longIdle);
    limits.headerFields = 20;
    return limits;
}

std::string manyFields()
{
    std::string text = "GET / HTTP/1.1\r\nHost: shop\r\n";
    for (int n = 0; n < 30; ++n)
        text += "a: b\r\n";
    return text + "\r\n";
}

} // namespace

struct UncertainLimitsRow {
    const char* name;
    std::string (*text)();
    bool isCertainAtFirstByte;
    bool isCertainLater;
    const char* response;
    bool hasRetryTime = false; // Of the session; that of a body is the handler's.
};

#define DENIED(STATUS) "HTTP/1.1 " STATUS
#define NOT_READY "HTTP/1.1 503"

const UncertainLimitsRow uncertainLimitsRows[] = {
    { "head", [] { return postOf(3'000, "body"); }, false, false, NOT_READY, true },
    { "head, certain", [] { return postOf(3'000, "body"); }, true, true, DENIED("431") },
    { "head, certain after its first byte", [] { return postOf(3'000, "body"); }, false, true, NOT_READY, true },
    { "head, uncertain after its first byte", [] { return postOf(3'000, "body"); }, true, false, DENIED("431") },
    { "fields", manyFields, false, false, NOT_READY, true },
    { "announced body", [] { return postOf(0, std::string(2'000, 'b')); }, false, false, NOT_READY, true },
    { "announced body, certain", [] { return postOf(0, std::string(2'000, 'b')); }, true, true, DENIED("413") },
    { "chunked body", [] { return POST_CHUNKED "7d0\r\n" + std::string(2'000, 'b') + "\r\n0\r\n\r\n"; }, false, false,
        NOT_READY },
    { "trailers", [] { return POST_CHUNKED "0\r\nX: " + std::string(20'000, 't') + "\r\n\r\n"; }, false, false,
        NOT_READY },
    { "malformed head", [] { return std::string("GET / HTTP/1.1\r\nHost shop\r\n\r\n"); }, false, false,
        DENIED("400") },
    { "malformed chunk", [] { return std::string(POST_CHUNKED "x\r\n"); }, false, false, DENIED("400") },
    { "within the limits", [] { return postOf(0, "body"); }, false, false, "HTTP/1.1 200" },
};

// Guards against a request denied by limits that may not be the ones in force at its first byte: its caller does not
// repeat it, although another member may serve it.
ParameterizedTestParameters(CallerSessions, denyByCertainLimitsOnly) { return rowIndices(uncertainLimitsRows); }

ParameterizedTest(std::size_t* index, CallerSessions, denyByCertainLimitsOnly, .timeout = 60)
{
    const auto& row = uncertainLimitsRows[*index];
    bool isCertain = row.isCertainAtFirstByte;
    CallerSessions::Hooks hooks;
    hooks.retryIfUncertain = [&isCertain]() -> std::optional<Duration> {
        return isCertain ? std::nullopt : std::optional<Duration>(std::chrono::milliseconds(200));
    };
    EchoFixture fixture(lowLimits(), std::move(hooks));
    const auto text = row.text();
    fixture.send(std::string_view(text).substr(0, 1));
    isCertain = row.isCertainLater;
    fixture.send(std::string_view(text).substr(1));
    const auto response = fixture.received();
    cr_expect(response.starts_with(row.response), "%s: %s", row.name, response.c_str());
    const bool hasRetryTime = response.find("Retry-After: 0.200") != std::string::npos;
    cr_expect_eq(hasRetryTime, row.hasRetryTime, "%s: %s", row.name, response.c_str());
}

struct EndlessRequestRow {
    const char* name;
    const char* start;
    const char* piece;
};

const EndlessRequestRow endlessRequestRows[] = {
    { "header fields", "GET / HTTP/1.1\r\nHost: shop\r\n", "X-Field: value\r\n" },
    // Each read of 4,096 bytes ends in the first byte of a line, so that the parser has consumed all lines before it.
    { "header fields at the ends of reads", "GET / HTTP/1.1\r\nHost: shop\r\nY: 34567890\r\nZ: 3\r\nX",
        "-Field: value\r\nX" },
    { "one header field", "GET / HTTP/1.1\r\nHost: shop\r\nX-Field: ", "value" },
    { "target", "GET /", "path" },
    { "chunk extension", POST_CHUNKED "5;", "extension" },
    { "chunk extensions of many chunks", POST_CHUNKED,
        "1;extension=0123456789012345678901234567890123456789\r\nx\r\n" },
    { "trailers", POST_CHUNKED "5\r\nhello\r\n0\r\n", "X-Field: value\r\n" },
};

// Guards against a caller whose bytes never end: they filled the memory of the process.
ParameterizedTestParameters(CallerSessions, endEndlessRequests) { return rowIndices(endlessRequestRows); }

ParameterizedTest(std::size_t* index, CallerSessions, endEndlessRequests, .timeout = 60)
{
    // What the sockets of both sides hold, and the session's own limits.
    constexpr std::size_t maxBytesTaken = 24 * 1024 * 1024;
    const auto& row = endlessRequestRows[*index];
    asio::io_context io { 1 };
    CallerSessions sessions(
        io.get_executor(), CallerLimits {}, [](IncomingRequest request, const ResponseWriter& writer) {
            return readAndRefuse(std::move(request), writer);
        });
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::size_t bytesTaken = 0;
    std::thread sender([&, target = acceptor.local_endpoint()] {
        asio::io_context callerIo;
        tcp::socket caller(callerIo);
        caller.connect(target);
        std::string pieces;
        while (pieces.size() < 64 * 1024)
            pieces += row.piece;
        boost::system::error_code ec;
        asio::write(caller, asio::buffer(std::string(row.start)), ec);
        while (!ec && bytesTaken <= maxBytesTaken)
            bytesTaken += asio::write(caller, asio::buffer(pieces), ec);
    });
    sessions.serve(acceptor.accept());
    io.run();
    sender.join();
    cr_expect(sessions.empty(), "%s", row.name);
    cr_expect_leq(bytesTaken, maxBytesTaken, "%s: %zu bytes", row.name, bytesTaken);
}
