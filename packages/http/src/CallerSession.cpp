#include "CallerSessionImpl.h"

#include "BeastHeads.h"

#include <algorithm>
#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <utility>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

// How long to keep reading from a closing connection whose caller may still be sending. Closing it immediately would
// reset it, which discards the response before the caller has read it.
constexpr std::chrono::seconds lingerTimeout { 2 };
// Limits the processor time that a caller which never stops sending takes in that time.
constexpr std::size_t maxLingerBytes = 8 * 1024 * 1024;
constexpr Duration evictedRetry = std::chrono::milliseconds(200);

BodyLength bodyLengthOf(const http::request_parser<http::buffer_body>& parser)
{
    if (parser.chunked())
        return { BodyLength::Kind::Streamed, {} };
    if (auto n = parser.content_length(); n && *n > 0)
        return { BodyLength::Kind::Exact, ByteCount(*n) };
    return {};
}

} // namespace

asio::awaitable<void> CallerSession::Impl::run()
{
    while (!m_isStopping) {
        if (!co_await serveRequest())
            break;
    }
    beast::error_code ec;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    // An evicted connection is closed by abortIfEvicted() if its caller goes on sending.
    const bool lingers = m_isAnswerWhole && (!m_isEvicted || m_lingersEvicted);
    if (lingers)
        co_await linger();
    disarmReadTimer();
    m_stream.close();
    // Lets a time-out handler that is already queued run before this object can be destroyed.
    co_await asio::post(m_stream.get_executor(), asio::use_awaitable);
}

// Reads and discards input until the caller closes its side, lingerTimeout elapses or maxLingerBytes have arrived.
asio::awaitable<void> CallerSession::Impl::linger()
{
    m_charge.enter(CallerStage::Closing);
    armReadTimer(lingerTimeout);
    m_current.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
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
    m_pipeline.stop();
    // A request that has arrived but has not been read yet is served: closing here would reset the connection, and the
    // caller could not know whether the request ran. A request that has been read, but whose completion is still
    // queued, is not affected by the cancellation; if the socket were closed, it would be handled and its response
    // lost.
    beast::error_code ec;
    if (m_isIdle && m_stream.socket().available(ec) == 0)
        m_stream.cancel();
}

void CallerSession::Impl::closeAfterNextResponse()
{
    m_closesAfterNextResponse = true;
    m_pipeline.stop();
}

void CallerSession::Impl::evict(bool mayLinger)
{
    m_isEvicted = true;
    m_pipeline.stop();
    m_lingersEvicted = mayLinger;
    beast::error_code ec;
    const bool canCancel = m_stage == CallerStage::Head || m_stage == CallerStage::Body
        || (m_stage == CallerStage::Idle && m_stream.socket().available(ec) == 0);
    if (canCancel)
        m_stream.cancel();
    else if (m_stage != CallerStage::Idle)
        m_stream.close();
}

// A handler that does not wait for the caller may have passed its request on.
void CallerSession::Impl::abortIfEvicted()
{
    const bool isBodyRead = m_stage == CallerStage::Body && m_current && m_current->parser->is_done();
    const bool mayRun = m_stage == CallerStage::Sent || isBodyRead;
    if (!m_isEvicted || mayRun)
        return;
    // The sweep that evicts calls this before the session could write its refusal.
    if (std::exchange(m_isAbortDue, true))
        m_stream.close();
}

void CallerSession::Impl::endSlowTransfer()
{
    if (m_stage == CallerStage::Body) {
        m_timedOut = true;
        m_stream.cancel();
    } else {
        m_stream.close();
    }
}

void CallerSession::Impl::chargeUnread()
{
    beast::error_code ec;
    const auto unread = m_stream.socket().available(ec);
    m_charge.hold(CallerMemory::Unread, ec ? 0 : unread);
}

void CallerSession::Impl::enter(CallerStage stage)
{
    m_stage = stage;
    m_charge.enter(stage);
}

RequestProgress CallerSession::Impl::progress(CurrentRequest& current)
{
    if (current.pipelined)
        return { [this, &current](ByteCount bytes) {
                    current.pipelined->keptBytes = bytes.count();
                    chargePipeline();
                },
            [this, &current] { return beginSendingPipelined(current); },
            [this, &current] { return awaitTurn(current); } };
    return { [this](ByteCount bytes) { m_charge.hold(CallerMemory::Kept, bytes.count()); },
        [this] {
            if (m_isEvicted && m_stage == CallerStage::Body)
                return false;
            if (m_stage == CallerStage::Body)
                enter(CallerStage::Sent);
            return true;
        },
        nullptr };
}

void CallerSession::Impl::setLimits(const CallerLimits& limits)
{
    m_limits = limits;
    if (!m_idleSince)
        return;
    const auto idle = std::chrono::steady_clock::now() - *m_idleSince;
    armReadTimer(std::max<Duration>(m_limits.idleTimeout - idle, Duration::zero()));
}

asio::awaitable<bool> CallerSession::Impl::serveRequest()
{
    m_current.emplace();
    m_isAnswerWhole = false;
    m_isIdle = true;
    enter(CallerStage::Idle);
    m_current->parser.emplace();
    m_current->parser->on_chunk_header(m_current->chunkExtensions);
    if (auto ec = co_await readHead()) {
        const bool connectionEnded
            = ec == asio::error::eof || ec == asio::error::operation_aborted || ec == asio::error::connection_reset;
        if (m_isEvicted && !m_isIdle)
            co_await refuseForLimit();
        else if (!connectionEnded)
            co_await respondToParseError(ec);
        co_return false;
    }
    auto request = makeRequest(*m_current);
    if (!request) {
        co_await respondToParseError(http::error::bad_target);
        co_return false;
    }
    m_current->isHandled = true;
    enter(CallerStage::Body);
    if (canPipeline(*m_current, request->head)) {
        beginPipeline();
        startPipelined(*m_current, *std::move(request));
        co_return co_await servePipeline();
    }
    request->progress = progress(*m_current);
    std::exception_ptr failure;
    co_await (captureException(m_handler(*std::move(request), writer(*m_current)), failure) || waitForDisconnect());
    if (failure)
        std::rethrow_exception(failure);
    if (std::exchange(m_current->isEnded, false)) {
        m_current->keepAlive = false;
        // An upstream may have received the request.
        co_await writeError(writer(*m_current), ErrorKind::DeadlineExceeded, Outcome::Unknown);
    }
    co_return m_current->isResponseComplete && m_current->keepAlive && m_current->parser->is_done() && !m_isStopping;
}

std::optional<IncomingRequest> CallerSession::Impl::makeRequest(CurrentRequest& current)
{
    const auto& message = current.parser->get();
    const auto target = parseTarget(message);
    if (!target)
        return std::nullopt;
    current.keepAlive = message.keep_alive();
    current.isHead = message.method() == http::verb::head;
    current.expectsContinue = beast::iequals(message[http::field::expect], "100-continue");
    IncomingRequest request;
    request.head.method = std::string(message.method_string());
    request.head.target = target->originForm;
    request.head.fields = fromBeast(message);
    request.head.fields.set("Host", target->host);
    request.head.bodyLength = bodyLengthOf(*current.parser);
    request.readBody = [this](asio::mutable_buffer buf) { return readBody(buf); };
    return request;
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
std::size_t CallerSession::Impl::endRequestsInProgress()
{
    if (m_current && m_current->pipelined)
        return endPipelinedRequests();
    const bool canEnd = m_current && m_current->isHandled && !m_current->response && !m_current->isEnded;
    if (!canEnd)
        return 0;
    m_current->isEnded = true;
    if (m_current->parser->is_done()) {
        m_stream.cancel();
        m_monitorEnd.cancel();
    } else {
        m_bodyFinished.cancel();
    }
    return 1;
}

asio::awaitable<void> CallerSession::Impl::refuseForLimit()
{
    m_current->keepAlive = false;
    if (m_hooks.rejected)
        m_hooks.rejected(ErrorKind::CallerLimit, "no room for this connection");
    co_await writeError(writer(*m_current), ErrorKind::CallerLimit, Outcome::NotRun, evictedRetry);
}

asio::awaitable<void> CallerSession::Impl::respondToParseError(beast::error_code ec)
{
    m_current->keepAlive = false;
    const auto kind = rejectionFor(ec);
    if (m_hooks.rejected)
        m_hooks.rejected(kind, ec.message());
    const auto retryAfter = kind == ErrorKind::NotReady ? m_current->retryAfter : std::nullopt;
    co_await writeError(writer(*m_current), kind, Outcome::NotRun, retryAfter);
}

CallerSession::CallerSession(asio::ip::tcp::socket socket, CallerLimits limits, RequestHandler handler,
    CallerSessionHooks hooks, CallerAccount& account, ConnectionId id)
    : m_impl(std::make_unique<Impl>(std::move(socket), limits, std::move(handler), std::move(hooks), account, id))
{
}

CallerSession::~CallerSession() = default;

asio::awaitable<void> CallerSession::run() { return m_impl->run(); }

void CallerSession::setLimits(const CallerLimits& limits) { m_impl->setLimits(limits); }

void CallerSession::stopAfterCurrentRequest() { m_impl->stopAfterCurrentRequest(); }

std::size_t CallerSession::endRequestsInProgress() { return m_impl->endRequestsInProgress(); }

void CallerSession::closeAfterNextResponse() { m_impl->closeAfterNextResponse(); }

void CallerSession::evict(bool mayLinger) { m_impl->evict(mayLinger); }

void CallerSession::abortIfEvicted() { m_impl->abortIfEvicted(); }

void CallerSession::endSlowTransfer() { m_impl->endSlowTransfer(); }

void CallerSession::chargeUnread() { m_impl->chargeUnread(); }

} // namespace dogwoodhall
