#include "dogwoodhall/http/UpstreamClient.h"

#include "dogwoodhall/exchange/AsioAddress.h"
#include "dogwoodhall/exchange/UseTuple.h"

#include "BeastHeads.h"
#include "MessageRules.h"

#include <algorithm>
#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <sys/socket.h>
#include <utility>

namespace dogwoodhall {

namespace beast = boost::beast;
using asio::experimental::awaitable_operators::operator||;

namespace {

constexpr std::size_t relayBufferBytes = 16 * 1024;
constexpr std::uint32_t responseHeaderLimit = 64 * 1024;
// Received bytes that the parser cannot consume before more arrive: part of a head, of a chunk header or of the
// trailers. A response that needs more fails.
constexpr std::size_t maxUnparsedBytes = responseHeaderLimit + relayBufferBytes;
// Interim responses before the final one.
constexpr unsigned maxInterimHeads = 16;
// Keep-Alive is in whole seconds, and a request sent while the upstream closes the connection is lost without a
// response.
constexpr Duration keepAliveMargin = std::chrono::seconds(1);

using ResponseParser = http::response_parser<http::buffer_body>;
using BodyRequest = http::request<http::buffer_body>;
using RequestSerializer = http::request_serializer<http::buffer_body>;

tl::unexpected<ExchangeError> failure(ErrorKind kind, bool provenNotRun, beast::error_code ec)
{
    if (ec == beast::error::timeout)
        kind = ErrorKind::DeadlineExceeded;
    // A connection in use is closed only by the cancellation of its request.
    if (ec == asio::error::operation_aborted)
        kind = ErrorKind::Cancelled;
    return tl::unexpected(ExchangeError { kind, provenNotRun, ec.message() });
}

BodyLength bodyLengthOf(const ResponseParser& parser)
{
    if (parser.is_done())
        return {};
    if (auto n = parser.content_length())
        return { BodyLength::Kind::Exact, ByteCount(*n) };
    return { BodyLength::Kind::Streamed, {} };
}

// Sends a keep-alive probe after half the timeout and fails the connection after the other half. TCP_USER_TIMEOUT
// limits unacknowledged data in the same way.
void enableDeadPeerDetection(asio::ip::tcp::socket& socket, Duration timeout)
{
    const auto half = std::max<std::chrono::seconds>(
        std::chrono::seconds(1), std::chrono::duration_cast<std::chrono::seconds>(timeout / 2));
    const int seconds = static_cast<int>(half.count());
    const int probes = 1;
    const auto ms = static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    beast::error_code ec;
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    const int fd = socket.native_handle();
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

// Separate from send(), so that the coroutine frame of a request without a body does not contain the buffer.
// `isWaitingForBody` is true while waiting for the next part of the body.
// A body of known length ends with its last byte: the endpoint may run the request from then on, so that no later part
// of the body can be late.
ExchangeResult<void> sendBody(beast::tcp_stream& stream, BodyRequest& message, RequestSerializer& serializer,
    const OutgoingRequest& request, std::chrono::steady_clock::time_point deadline, bool& isWaitingForBody)
{
    const bool hasKnownLength = request.head.bodyLength.kind == BodyLength::Kind::Exact;
    std::uint64_t bytesLeft = request.head.bodyLength.bytes.count();
    std::array<char, relayBufferBytes> buf;
    while (!serializer.is_done()) {
        isWaitingForBody = !request.isBodyBuffered;
        auto n = co_await request.readBody(asio::buffer(buf));
        isWaitingForBody = false;
        if (!n)
            co_return tl::unexpected(n.error());
        // The endpoint has accepted everything received so far: the sender of the body is late, not the endpoint.
        if (std::chrono::steady_clock::now() >= deadline) {
            const auto kind = request.isBodyBuffered ? ErrorKind::DeadlineExceeded : ErrorKind::RequestTimeout;
            ExchangeError error { kind, false, "body not sent by the deadline" };
            co_return tl::unexpected(std::move(error));
        }
        message.body().data = *n == 0 ? nullptr : buf.data();
        message.body().size = *n;
        bytesLeft -= std::min<std::uint64_t>(bytesLeft, *n);
        message.body().more = *n != 0 && !(hasKnownLength && bytesLeft == 0);
        auto [ec, written] = co_await http::async_write(stream, serializer, useTuple);
        if (ec && ec != http::error::need_buffer)
            co_return failure(ErrorKind::UpstreamFailed, false, ec);
    }
    co_return tl::expected<void, ExchangeError> {};
}

void reportInterimHead(const ResponseParser::value_type& message, const OutgoingRequest& request)
{
    if (!request.onHead)
        return;
    ResponseHead head;
    head.status = message.result_int();
    head.fields = fromBeast(message);
    request.onHead(head);
}

} // namespace

class UpstreamClient::Connection {
public:
    Connection(asio::any_io_executor executor, NetworkAddress address)
        : stream(std::move(executor))
        , address(address)
    {
    }

    // True if the remote side has closed the connection or sent unsolicited bytes.
    bool isStale()
    {
        std::array<char, 1> byte;
        beast::error_code ec;
        stream.socket().non_blocking(true, ec);
        stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, ec);
        return ec != asio::error::would_block;
    }

    // False if the response belongs to another request.
    bool matchesRequest(const HeaderFields& response, const Correlation& correlation)
    {
        const auto echo = response.find(correlation.field);
        if (correlation.source == Correlation::Source::Caller)
            return echo.value_or("") == exchangeId;
        const bool isExpected = echo ? *echo == exchangeId : !upstreamEchoesId;
        upstreamEchoesId = upstreamEchoesId || echo.has_value();
        return isExpected;
    }

    // Sets the idle time that the upstream allows, less a margin for requests in flight when the upstream closes the
    // connection. Zero means that the connection must not be reused.
    void updateIdleTimeout(std::string_view keepAlive)
    {
        constexpr std::string_view name = "timeout=";
        const auto at = keepAlive.find(name);
        if (at == std::string_view::npos)
            return;
        unsigned seconds = 0;
        std::from_chars(keepAlive.data() + at + name.size(), keepAlive.data() + keepAlive.size(), seconds);
        upstreamIdleTimeout = std::max<Duration>(std::chrono::seconds(seconds) - keepAliveMargin, Duration::zero());
    }

    // Prepares for the next head. A response to HEAD has no body, even after an interim response.
    void resetParser()
    {
        parser.emplace();
        parser->header_limit(responseHeaderLimit);
        parser->body_limit(boost::none);
        parser->skip(isHead);
        parser->on_chunk_header(chunkExtensions);
    }

    // Reads until the parser has a complete head, interim or final.
    asio::awaitable<beast::error_code> readOneHead()
    {
        std::size_t bytesLeft = responseHeaderLimit;
        while (true) {
            auto ec = parseHead(*parser, buffer, bytesLeft);
            if (parser->is_header_done() || (ec && ec != http::error::need_more))
                co_return ec;
            auto [readError, n] = co_await stream.async_read_some(buffer.prepare(relayBufferBytes), useTuple);
            if (readError)
                co_return readError;
            buffer.commit(n);
        }
    }

    beast::tcp_stream stream;
    NetworkAddress address;
    beast::flat_buffer buffer { maxUnparsedBytes };
    std::optional<ResponseParser> parser;
    ChunkExtensionLimit chunkExtensions; // Of the response in progress.
    std::chrono::steady_clock::time_point idleSince;
    std::string exchangeId; // Of the request in progress; empty if it has none.
    bool isHead = false; // Of the request in progress.
    bool upstreamEchoesId = false; // A response on this connection carried an exchange id.
    bool isReused = false; // An earlier exchange on this connection succeeded.
    bool isWaitingForBody = false; // The endpoint has accepted all of the request received so far.
    bool isRequestSent = false; // The request in progress was written completely.
    Duration upstreamIdleTimeout = Duration::max(); // From the upstream's last Keep-Alive field.
};

UpstreamClient::UpstreamClient(asio::any_io_executor executor, UpstreamLimits limits)
    : m_executor(std::move(executor))
    , m_limits(limits)
    , m_idPrefix(std::to_string(std::random_device {}()) + "-")
{
}

UpstreamClient::~UpstreamClient() = default;

ExchangeResult<IncomingResponse> UpstreamClient::exchange(
    const NetworkAddress& address, OutgoingRequest request, std::chrono::steady_clock::time_point deadline)
{
    auto acquired = co_await acquire(address, deadline);
    if (!acquired)
        co_return tl::unexpected(acquired.error());
    const ConnectionId id = *acquired;
    // Closes the connection on every early exit, cancellation included.
    struct Guard {
        UpstreamClient& client;
        ConnectionId id;
        bool armed = true;
        ~Guard()
        {
            if (armed)
                client.close(id);
        }
    } guard { *this, id };

    if (request.maySend && !request.maySend()) {
        ExchangeError withheld { ErrorKind::UpstreamRefused, true, "withheld", false, true };
        co_return tl::unexpected(std::move(withheld));
    }
    Connection& connection = *m_connections.at(id);
    connection.stream.expires_at(deadline);
    connection.isHead = request.head.method == "HEAD";
    if (m_limits.correlation.source == Correlation::Source::Client) {
        connection.exchangeId = newExchangeId();
        request.head.fields.set(m_limits.correlation.field, connection.exchangeId);
    } else {
        connection.exchangeId = request.head.fields.find(m_limits.correlation.field).value_or("");
    }
    connection.chunkExtensions = {};
    connection.resetParser();
    auto head = co_await sendAndReadHead(connection, request, deadline);
    if (!head) {
        head.error().onReusedConnection = connection.isReused;
        co_return tl::unexpected(head.error());
    }
    connection.isReused = true;
    connection.stream.expires_never();
    guard.armed = false;
    co_return IncomingResponse { std::move(*head), [this, id](asio::mutable_buffer buf) { return readBody(id, buf); },
        [this, id] { close(id); } };
}

// An upstream may respond before it has read a long body. The rest of the body is then not sent, and the connection is
// closed after the response, since the upstream would take the next request for the rest of the body.
ExchangeResult<ResponseHead> UpstreamClient::sendAndReadHead(
    Connection& connection, OutgoingRequest& request, std::chrono::steady_clock::time_point deadline)
{
    connection.isRequestSent = false;
    connection.isWaitingForBody = false;
    if (request.head.bodyLength.kind == BodyLength::Kind::None) {
        if (auto sent = co_await send(connection, request, deadline); !sent)
            co_return tl::unexpected(sent.error());
        connection.isRequestSent = true;
        co_return co_await readHead(connection, request);
    }
    std::optional<tl::expected<ResponseHead, ExchangeError>> head;
    std::optional<tl::expected<void, ExchangeError>> sent;
    bool hasSendFailed = false; // Before the response arrived.
    const auto waitForever = [this]() -> asio::awaitable<void> {
        asio::steady_timer never(m_executor, asio::steady_timer::time_point::max());
        co_await never.async_wait(useTuple);
    };
    auto reading = [&]() -> asio::awaitable<void> {
        head = co_await readHead(connection, request);
        // The sender of the body is late, not the upstream: sendBody() reports this when its next part arrives or
        // fails.
        const bool isBodyLate
            = !*head && head->error().kind == ErrorKind::DeadlineExceeded && connection.isWaitingForBody;
        if (isBodyLate)
            co_await waitForever();
    };
    auto sending = [&]() -> asio::awaitable<void> {
        sent = co_await send(connection, request, deadline);
        connection.isRequestSent = sent->has_value();
        const auto state = co_await asio::this_coro::cancellation_state;
        hasSendFailed = !*sent && state.cancelled() == asio::cancellation_type::none;
        // Only a response or a send failure ends the exchange.
        if (*sent)
            co_await waitForever();
    };
    co_await (reading() || sending());
    ExchangeError cancelled { ErrorKind::Cancelled, false, "cancelled" };
    if (hasSendFailed)
        co_return tl::unexpected(sent->error());
    if (!head)
        co_return tl::unexpected(std::move(cancelled));
    co_return std::move(*head);
}

ExchangeResult<ConnectionId> UpstreamClient::acquire(
    const NetworkAddress& address, std::chrono::steady_clock::time_point deadline)
{
    if (auto idle = acquireIdleConnection(address))
        co_return *idle;
    const ConnectionId id(m_nextConnection++);
    auto connection = std::make_unique<Connection>(m_executor, address);
    const auto connectBy = std::chrono::steady_clock::now()
        + std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_limits.connectTimeout);
    connection->stream.expires_at(std::min(deadline, connectBy));
    auto [ec] = co_await connection->stream.async_connect(toEndpoint(address), useTuple);
    if (ec)
        co_return failure(ErrorKind::UpstreamFailed, true, ec == beast::error::timeout ? asio::error::timed_out : ec);
    beast::error_code optionError;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), optionError);
    if (m_limits.deadPeerTimeout)
        enableDeadPeerDetection(connection->stream.socket(), *m_limits.deadPeerTimeout);
    ++m_connectionsOpened;
    m_connections.emplace(id, std::move(connection));
    co_return id;
}

ExchangeResult<void> UpstreamClient::send(
    Connection& connection, OutgoingRequest& request, std::chrono::steady_clock::time_point deadline)
{
    BodyRequest message;
    message.version(11);
    message.method_string(request.head.method);
    message.target(request.head.target);
    toBeast(request.head.fields, message);
    if (request.head.bodyLength.kind == BodyLength::Kind::Exact)
        message.content_length(request.head.bodyLength.bytes.count());
    else if (request.head.bodyLength.kind == BodyLength::Kind::Streamed)
        message.chunked(true);
    else if (request.head.method != "GET" && request.head.method != "HEAD")
        message.content_length(0);
    message.body().data = nullptr;
    const bool hasBody = request.head.bodyLength.kind != BodyLength::Kind::None;
    message.body().more = hasBody;
    RequestSerializer serializer(message);

    auto [ec, n] = co_await http::async_write_header(connection.stream, serializer, useTuple);
    if (ec)
        co_return failure(ErrorKind::UpstreamFailed, false, ec);
    if (request.headWritten)
        request.headWritten();
    if (!hasBody)
        co_return tl::expected<void, ExchangeError> {};
    co_return co_await sendBody(connection.stream, message, serializer, request, deadline, connection.isWaitingForBody);
}

ExchangeResult<ResponseHead> UpstreamClient::readHead(Connection& connection, const OutgoingRequest& request)
{
    for (unsigned heads = 0; heads <= maxInterimHeads; ++heads) {
        if (auto ec = co_await connection.readOneHead())
            co_return failure(ErrorKind::UpstreamFailed, false, ec);
        const auto& message = connection.parser->get();
        if (!hasUnambiguousLength(message))
            co_return failure(ErrorKind::UpstreamFailed, false, http::error::bad_field);
        const auto statusClass = classOf(message.result_int());
        if (statusClass == StatusClass::Invalid)
            co_return failure(ErrorKind::UpstreamFailed, false, http::error::bad_status);
        if (statusClass == StatusClass::Final) {
            ResponseHead head;
            head.status = message.result_int();
            head.fields = fromBeast(message);
            head.closesConnection = !message.keep_alive();
            connection.updateIdleTimeout(message["Keep-Alive"]);
            if (!connection.matchesRequest(head.fields, m_limits.correlation)) {
                ExchangeError error { ErrorKind::UpstreamFailed, false, "answer to another request" };
                co_return tl::unexpected(std::move(error));
            }
            if (m_limits.correlation.source == Correlation::Source::Client)
                head.fields.remove(m_limits.correlation.field);
            head.bodyLength = bodyLengthOf(*connection.parser);
            if (request.onHead)
                request.onHead(head);
            co_return head;
        }
        reportInterimHead(message, request);
        connection.resetParser();
    }
    ExchangeError error { ErrorKind::UpstreamFailed, false, "too many interim responses" };
    co_return tl::unexpected(std::move(error));
}

ExchangeResult<std::size_t> UpstreamClient::readBody(ConnectionId id, asio::mutable_buffer buf)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end())
        co_return tl::unexpected(ExchangeError { ErrorKind::UpstreamTruncated, false, "connection closed" });
    Connection& connection = *it->second;
    auto& parser = *connection.parser;
    std::size_t size = 0;
    while (size == 0 && !parser.is_done()) {
        parser.get().body().data = buf.data();
        parser.get().body().size = buf.size();
        parser.get().body().more = true;
        auto [ec, n] = co_await http::async_read_some(connection.stream, connection.buffer, parser, useTuple);
        if (ec && ec != http::error::need_buffer) {
            close(id);
            co_return failure(ErrorKind::UpstreamTruncated, false, ec);
        }
        size = buf.size() - parser.get().body().size;
    }
    if (size == 0)
        releaseConnection(id);
    co_return size;
}

std::optional<ConnectionId> UpstreamClient::acquireIdleConnection(const NetworkAddress& address)
{
    auto it = m_idleConnections.find(address);
    if (it == m_idleConnections.end())
        return std::nullopt;
    const auto oldest = std::chrono::steady_clock::now() - m_limits.idleTimeout;
    while (!it->second.empty()) {
        const ConnectionId id = it->second.back();
        it->second.pop_back();
        Connection& connection = *m_connections.at(id);
        const Duration idle = std::chrono::steady_clock::now() - connection.idleSince;
        const bool isReusable = connection.idleSince > oldest && idle < connection.upstreamIdleTimeout;
        if (isReusable && !connection.isStale())
            return id;
        close(id);
    }
    m_idleConnections.erase(it);
    return std::nullopt;
}

void UpstreamClient::releaseConnection(ConnectionId id)
{
    Connection& connection = *m_connections.at(id);
    const bool reusable = connection.parser->keep_alive() && !connection.parser->need_eof()
        && connection.buffer.size() == 0 && connection.isRequestSent
        && connection.upstreamIdleTimeout > Duration::zero();
    auto& idle = m_idleConnections[connection.address];
    if (!reusable || idle.size() >= m_limits.idleLimit(connection.address)) {
        close(id);
        return;
    }
    connection.parser.reset();
    connection.idleSince = std::chrono::steady_clock::now();
    // Under a new id, so that the response that has ended no longer reaches the connection.
    auto node = m_connections.extract(id);
    node.key() = ConnectionId(m_nextConnection++);
    idle.push_back(node.key());
    m_connections.insert(std::move(node));
}

void UpstreamClient::closeIdleConnections()
{
    const auto oldest = std::chrono::steady_clock::now() - m_limits.idleTimeout;
    for (auto it = m_idleConnections.begin(); it != m_idleConnections.end();) {
        auto& [address, idle] = *it;
        const std::size_t limit = m_limits.idleLimit(address);
        // The front has been idle the longest.
        while (!idle.empty() && (idle.size() > limit || m_connections.at(idle.front())->idleSince <= oldest)) {
            close(idle.front());
            idle.pop_front();
        }
        it = idle.empty() ? m_idleConnections.erase(it) : std::next(it);
    }
}

void UpstreamClient::closeIdleConnectionsTo(const NetworkAddress& address)
{
    const auto it = m_idleConnections.find(address);
    if (it == m_idleConnections.end())
        return;
    for (const auto id : it->second)
        close(id);
    m_idleConnections.erase(it);
}

std::string UpstreamClient::newExchangeId() { return m_idPrefix + std::to_string(m_nextExchange++); }

void UpstreamClient::close(ConnectionId id) { m_connections.erase(id); }

} // namespace dogwoodhall
