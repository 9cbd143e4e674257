#include "dogwoodhall/http/CallerSession.h"

#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/UseTuple.h"

#include "BeastHeads.h"
#include "MessageRules.h"

#include <algorithm>
#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <optional>
#include <string_view>
#include <utility>

namespace dogwoodhall {

namespace beast = boost::beast;
using asio::experimental::awaitable_operators::operator||;

namespace {

constexpr std::size_t readChunkBytes = 4096;
// How long to keep reading from a closing connection whose caller may still be sending. Closing it immediately would
// reset it, which discards the response before the caller has read it.
constexpr std::chrono::seconds lingerTimeout { 2 };
// Limits the processor time that a caller which never stops sending takes in that time.
constexpr std::size_t maxLingerBytes = 8 * 1024 * 1024;

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

using RequestParser = http::request_parser<http::buffer_body>;

ErrorKind errorKindFor(beast::error_code ec)
{
    // The buffer overflows where a chunk header or the trailers exceed the size allowed for a head.
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return ErrorKind::HeadersTooLarge;
    if (ec == http::error::body_limit)
        return ErrorKind::BodyTooLarge;
    if (ec == beast::error::timeout)
        return ErrorKind::RequestTimeout;
    return ErrorKind::BadRequest;
}

BodyLength bodyLengthOf(const RequestParser& parser)
{
    if (parser.chunked())
        return { BodyLength::Kind::Streamed, {} };
    if (auto n = parser.content_length(); n && *n > 0)
        return { BodyLength::Kind::Exact, ByteCount(*n) };
    return {};
}

// The state of the request in progress.
struct CurrentRequest {
    std::optional<RequestParser> parser;
    ChunkExtensionLimit chunkExtensions;
    bool expectsContinue = false;
    bool keepAlive = false;
    bool isHead = false;
    bool isHandled = false; // The handler has been called.
    bool isEnded = false; // By endRequestInProgress().
    bool isResponseComplete = false; // The response has been written completely.
    // Remaining bytes of the response body. Empty before the head is written or if the length is not declared.
    std::optional<std::uint64_t> bytesLeft;
    std::optional<http::response<http::buffer_body>> response;
    std::optional<http::response_serializer<http::buffer_body>> serializer;
};

} // namespace

class CallerSession::Impl {
public:
    Impl(asio::ip::tcp::socket socket, CallerLimits limits, RequestHandler handler, RequestRejected rejected)
        : m_stream(std::move(socket))
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_rejected(std::move(rejected))
        , m_readTimer(m_stream.get_executor())
        , m_monitorEnd(m_stream.get_executor(), asio::steady_timer::time_point::max())
        , m_bodyFinished(m_stream.get_executor(), asio::steady_timer::time_point::max())
    {
    }

    asio::awaitable<void> run();
    void setLimits(const CallerLimits&);
    void stopAfterCurrentRequest();
    void closeAfterNextResponse() { m_closesAfterNextResponse = true; }
    bool endRequestInProgress();

private:
    asio::awaitable<bool> serveRequest();
    asio::awaitable<beast::error_code> readHead();
    asio::awaitable<beast::error_code> waitForFirstByte();
    void applyLimits();
    asio::awaitable<beast::error_code> skipEmptyLines();
    std::string_view bufferedText() const;
    std::string_view unparsedHead() const;
    asio::awaitable<beast::error_code> readMore();
    asio::awaitable<void> linger();
    // Makes reads fail with a time-out after `wait`. The timer of tcp_stream would close the socket instead, so that no
    // error response could be sent.
    void armReadTimer(Duration wait);
    void disarmReadTimer();
    asio::awaitable<void> respondToParseError(beast::error_code);
    ExchangeResult<std::size_t> readBody(asio::mutable_buffer);
    ExchangeResult<void> writeHead(const ResponseHead&);
    ExchangeResult<void> writeBody(asio::const_buffer);
    ExchangeResult<void> finish();
    ResponseWriter writer();
    asio::awaitable<void> waitForDisconnect();

    beast::tcp_stream m_stream;
    CallerLimits m_limits;
    RequestHandler m_handler;
    RequestRejected m_rejected;
    beast::flat_buffer m_buffer;
    std::optional<CurrentRequest> m_current;
    asio::steady_timer m_readTimer;
    // Identifies the armed timer; the handler of an earlier one may still be queued.
    std::uint64_t m_readTimerGeneration = 0;
    bool m_timedOut = false;
    asio::steady_timer m_monitorEnd; // Cancelled to complete waitForDisconnect().
    asio::steady_timer m_bodyFinished; // Cancelled when the request body has been read completely.
    bool m_isIdle = true;
    std::optional<std::chrono::steady_clock::time_point> m_idleSince; // While the idle time-out is armed.
    bool m_isStopping = false;
    bool m_closesAfterNextResponse = false;
};

asio::awaitable<void> CallerSession::Impl::run()
{
    while (!m_isStopping) {
        if (!co_await serveRequest())
            break;
    }
    beast::error_code ec;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (m_current && m_current->isResponseComplete)
        co_await linger();
    disarmReadTimer();
    m_stream.close();
    // Lets a time-out handler that is already queued run before this object can be destroyed.
    co_await asio::post(m_stream.get_executor(), asio::use_awaitable);
}

// Reads and discards input until the caller closes its side, lingerTimeout elapses or maxLingerBytes have arrived.
asio::awaitable<void> CallerSession::Impl::linger()
{
    armReadTimer(lingerTimeout);
    m_buffer.clear();
    beast::error_code ec;
    std::size_t discarded = 0;
    while (!ec && discarded < maxLingerBytes) {
        ec = co_await readMore();
        discarded += m_buffer.size();
        m_buffer.clear();
    }
}

void CallerSession::Impl::stopAfterCurrentRequest()
{
    m_isStopping = true;
    // A request that has arrived but has not been read yet is served: closing here would reset the connection, and the
    // caller could not know whether the request ran. A request that has been read, but whose completion is still
    // queued, is not affected by the cancellation; if the socket were closed, it would be handled and its response
    // lost.
    beast::error_code ec;
    if (m_isIdle && m_stream.socket().available(ec) == 0)
        m_stream.cancel();
}

void CallerSession::Impl::setLimits(const CallerLimits& limits)
{
    m_limits = limits;
    if (!m_idleSince)
        return;
    const auto idle = std::chrono::steady_clock::now() - *m_idleSince;
    armReadTimer(std::max<Duration>(m_limits.idleTimeout - idle, Duration::zero()));
}

asio::awaitable<beast::error_code> CallerSession::Impl::waitForFirstByte()
{
    if (m_buffer.size() > 0)
        co_return beast::error_code {};
    m_idleSince = std::chrono::steady_clock::now();
    armReadTimer(m_limits.idleTimeout);
    const auto ec = co_await readMore();
    m_idleSince.reset();
    co_return ec == beast::error::timeout ? asio::error::eof : ec;
}

// A request is bound by the limits in force at its first byte.
void CallerSession::Impl::applyLimits()
{
    m_current->parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes.count()));
    m_current->parser->body_limit(m_limits.bodyBytes.count());
    // Has space for the largest head and one more read, also after bytes that arrived under higher limits.
    const auto headBytes = std::max<std::size_t>(m_limits.headerBytes.count(), m_buffer.size());
    m_buffer.max_size(headBytes + 2 * readChunkBytes);
}

asio::awaitable<beast::error_code> CallerSession::Impl::readHead()
{
    if (auto ec = co_await waitForFirstByte())
        co_return ec;
    m_isIdle = false;
    applyLimits();
    armReadTimer(m_limits.headerTimeout);
    if (auto ec = co_await skipEmptyLines())
        co_return ec;
    auto& parser = *m_current->parser;
    std::size_t bytesLeft = m_limits.headerBytes.count();
    while (true) {
        if (!hasValidLineEndings(unparsedHead()))
            co_return http::error::bad_line_ending;
        if (auto ec = parseHead(parser, m_buffer, bytesLeft); ec && ec != http::error::need_more)
            co_return ec;
        if (parser.is_header_done())
            break;
        if (auto ec = co_await readMore())
            co_return ec;
    }
    disarmReadTimer();
    if (!isSupportedRequest(parser.get()) || !hasUnambiguousLength(parser.get()))
        co_return http::error::bad_field;
    co_return beast::error_code {};
}

// Empty lines before a request line are allowed. Returns when the first byte of the request line has arrived.
asio::awaitable<beast::error_code> CallerSession::Impl::skipEmptyLines()
{
    while (true) {
        auto text = bufferedText();
        while (text.starts_with(lineEnd)) {
            m_buffer.consume(lineEnd.size());
            text.remove_prefix(lineEnd.size());
        }
        const bool isIncomplete = lineEnd.starts_with(text);
        if (!isIncomplete)
            co_return beast::error_code {};
        if (auto ec = co_await readMore())
            co_return ec;
    }
}

// The parser consumes complete lines, so that its unparsed rest begins at the start of a line. An empty line ends the
// head; what follows it belongs to the body.
std::string_view CallerSession::Impl::unparsedHead() const
{
    const auto text = bufferedText();
    return text.substr(0, text.starts_with(lineEnd) ? 0 : text.find(headEnd));
}

std::string_view CallerSession::Impl::bufferedText() const
{
    return { static_cast<const char*>(m_buffer.cdata().data()), m_buffer.size() };
}

// Appends received bytes to the buffer.
asio::awaitable<beast::error_code> CallerSession::Impl::readMore()
{
    auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(readChunkBytes), useTuple);
    m_buffer.commit(n);
    if (m_timedOut)
        co_return beast::error::timeout;
    co_return ec;
}

void CallerSession::Impl::armReadTimer(Duration wait)
{
    m_timedOut = false;
    m_readTimer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(wait));
    m_readTimer.async_wait([this, generation = ++m_readTimerGeneration](beast::error_code ec) {
        if (ec || generation != m_readTimerGeneration)
            return;
        m_timedOut = true;
        m_stream.cancel();
    });
}

void CallerSession::Impl::disarmReadTimer()
{
    ++m_readTimerGeneration;
    m_readTimer.cancel();
}

asio::awaitable<bool> CallerSession::Impl::serveRequest()
{
    m_current.emplace();
    m_isIdle = true;
    m_current->parser.emplace();
    m_current->parser->on_chunk_header(m_current->chunkExtensions);
    if (auto ec = co_await readHead()) {
        const bool connectionEnded
            = ec == asio::error::eof || ec == asio::error::operation_aborted || ec == asio::error::connection_reset;
        if (!connectionEnded)
            co_await respondToParseError(ec);
        co_return false;
    }
    const auto& message = m_current->parser->get();
    const auto target = parseTarget(message);
    if (!target) {
        co_await respondToParseError(http::error::bad_target);
        co_return false;
    }
    m_current->keepAlive = message.keep_alive();
    m_current->isHead = message.method() == http::verb::head;
    m_current->expectsContinue = beast::iequals(message[http::field::expect], "100-continue");

    IncomingRequest request;
    request.head.method = std::string(message.method_string());
    request.head.target = target->originForm;
    request.head.fields = fromBeast(message);
    request.head.fields.set("Host", target->host);
    request.head.bodyLength = bodyLengthOf(*m_current->parser);
    request.readBody = [this](asio::mutable_buffer buf) { return readBody(buf); };
    m_current->isHandled = true;
    std::exception_ptr failure;
    co_await (captureException(m_handler(std::move(request), writer()), failure) || waitForDisconnect());
    if (failure)
        std::rethrow_exception(failure);
    if (std::exchange(m_current->isEnded, false)) {
        m_current->keepAlive = false;
        // An upstream may have received the request.
        co_await writeError(writer(), ErrorKind::DeadlineExceeded, Outcome::Unknown);
    }
    co_return m_current->isResponseComplete && m_current->keepAlive && m_current->parser->is_done() && !m_isStopping;
}

// Completes when the caller closes its connection while its request is being served. Stops monitoring once bytes of a
// following request arrive, since a half-closed connection then looks the same as one with data to read.
asio::awaitable<void> CallerSession::Impl::waitForDisconnect()
{
    // Every completed request cancels this wait; throwing an exception each time costs 17,000 instructions.
    co_await asio::this_coro::throw_if_cancelled(false);
    while (!m_current->parser->is_done()) {
        co_await m_bodyFinished.async_wait(useTuple);
        const auto state = co_await asio::this_coro::cancellation_state;
        if (state.cancelled() != asio::cancellation_type::none || m_current->isEnded)
            co_return;
    }
    auto [ec] = co_await m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, useTuple);
    const auto state = co_await asio::this_coro::cancellation_state;
    if (state.cancelled() != asio::cancellation_type::none || m_current->isEnded)
        co_return;
    if (!ec) {
        std::array<char, 1> byte;
        beast::error_code peekError;
        const auto n = m_stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, peekError);
        // A caller that has received its complete response may close; the handler still has to release its resources.
        if (n == 0 && m_current->bytesLeft != 0)
            co_return;
    }
    co_await m_monitorEnd.async_wait(useTuple);
}

// While the body is being read, the socket is in use by the handler; afterwards only waitForDisconnect() waits for it.
bool CallerSession::Impl::endRequestInProgress()
{
    const bool canEnd = m_current && m_current->isHandled && !m_current->response && !m_current->isEnded;
    if (!canEnd)
        return false;
    m_current->isEnded = true;
    if (m_current->parser->is_done()) {
        m_stream.cancel();
        m_monitorEnd.cancel();
    } else {
        m_bodyFinished.cancel();
    }
    return true;
}

asio::awaitable<void> CallerSession::Impl::respondToParseError(beast::error_code ec)
{
    m_current->keepAlive = false;
    const auto kind = errorKindFor(ec);
    if (m_rejected)
        m_rejected(kind);
    co_await writeError(writer(), kind, Outcome::NotRun);
}

ExchangeResult<std::size_t> CallerSession::Impl::readBody(asio::mutable_buffer buf)
{
    auto& parser = *m_current->parser;
    if (parser.is_done())
        co_return std::size_t { 0 };
    if (std::exchange(m_current->expectsContinue, false)) {
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_stream, asio::buffer(interim), useTuple);
    }
    // Also after a cancellation: an armed timer would cancel the response.
    struct Guard {
        Impl& session;
        ~Guard() { session.disarmReadTimer(); }
    } guard { *this };
    std::size_t size = 0;
    while (size == 0 && !parser.is_done()) {
        parser.get().body().data = buf.data();
        parser.get().body().size = buf.size();
        parser.get().body().more = true;
        armReadTimer(m_limits.headerTimeout);
        auto [result, n] = co_await http::async_read_some(m_stream, m_buffer, parser, useTuple);
        const auto ec = m_timedOut ? beast::error_code(beast::error::timeout) : result;
        if (ec && ec != http::error::need_buffer) {
            m_current->keepAlive = false;
            co_return tl::unexpected(ExchangeError { errorKindFor(ec), false, ec.message() });
        }
        size = buf.size() - parser.get().body().size;
    }
    if (parser.is_done())
        m_bodyFinished.cancel();
    co_return size;
}

ResponseWriter CallerSession::Impl::writer()
{
    return { [this](const ResponseHead& head) { return writeHead(head); },
        [this](asio::const_buffer buf) { return writeBody(buf); }, [this] { return finish(); } };
}

ExchangeResult<void> CallerSession::Impl::writeHead(const ResponseHead& head)
{
    if (m_current->isEnded)
        co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, "the request was ended" });
    auto& response = m_current->response.emplace();
    response.version(11);
    response.result(head.status);
    toBeast(head.fields, response);
    m_current->keepAlive
        = m_current->keepAlive && m_current->parser->is_done() && !m_isStopping && !m_closesAfterNextResponse;
    response.keep_alive(m_current->keepAlive);
    if (head.bodyLength.kind == BodyLength::Kind::Streamed)
        response.chunked(true);
    else if (!m_current->isHead && head.status >= 200 && head.status != 204 && head.status != 304)
        response.content_length(head.bodyLength.bytes.count());
    if (head.bodyLength.kind != BodyLength::Kind::Streamed)
        m_current->bytesLeft = m_current->isHead ? 0 : head.bodyLength.bytes.count();
    response.body().data = nullptr;
    response.body().more = true;
    m_current->serializer.emplace(response);
    auto [ec, n] = co_await http::async_write_header(m_stream, *m_current->serializer, useTuple);
    if (ec)
        co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, ec.message() });
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> CallerSession::Impl::writeBody(asio::const_buffer buf)
{
    if (m_current->isHead || buf.size() == 0)
        co_return tl::expected<void, ExchangeError> {};
    if (auto& left = m_current->bytesLeft)
        *left -= std::min<std::uint64_t>(*left, buf.size());
    auto& body = m_current->response->body();
    body.data = const_cast<void*>(buf.data());
    body.size = buf.size();
    body.more = true;
    auto [ec, n] = co_await http::async_write(m_stream, *m_current->serializer, useTuple);
    if (ec && ec != http::error::need_buffer)
        co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, ec.message() });
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> CallerSession::Impl::finish()
{
    auto& body = m_current->response->body();
    body.data = nullptr;
    body.size = 0;
    body.more = false;
    if (!m_current->isHead && !m_current->serializer->is_done()) {
        auto [ec, n] = co_await http::async_write(m_stream, *m_current->serializer, useTuple);
        if (ec)
            co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, ec.message() });
    }
    m_current->isResponseComplete = true;
    co_return tl::expected<void, ExchangeError> {};
}

CallerSession::CallerSession(
    asio::ip::tcp::socket socket, CallerLimits limits, RequestHandler handler, RequestRejected rejected)
    : m_impl(std::make_unique<Impl>(std::move(socket), limits, std::move(handler), std::move(rejected)))
{
}

CallerSession::~CallerSession() = default;

asio::awaitable<void> CallerSession::run() { return m_impl->run(); }

void CallerSession::setLimits(const CallerLimits& limits) { m_impl->setLimits(limits); }

void CallerSession::stopAfterCurrentRequest() { m_impl->stopAfterCurrentRequest(); }

bool CallerSession::endRequestInProgress() { return m_impl->endRequestInProgress(); }

void CallerSession::closeAfterNextResponse() { m_impl->closeAfterNextResponse(); }

} // namespace dogwoodhall
