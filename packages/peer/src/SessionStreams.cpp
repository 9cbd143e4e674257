// Stream operations of PeerSession.
#include "PeerSession.h"

#include "SessionCallbacks.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t relayBufferBytes = 16 * 1024;
constexpr unsigned firstErrorStatus = 400;
const std::string suspectedReason = "the peer is suspected";

} // namespace

PeerStream* PeerSession::find(StreamId id)
{
    auto it = m_streams.find(id);
    return it == m_streams.end() ? nullptr : it->second.get();
}

PeerStream& PeerSession::addStream(StreamId id)
{
    auto& stream = m_streams[id];
    stream = std::make_unique<PeerStream>(m_socket.get_executor());
    return *stream;
}

void PeerSession::resetStream(StreamId id, std::uint32_t code)
{
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, id.value(), code);
    wakeLoops();
}

void PeerSession::closeStream(StreamId id, std::uint32_t code, std::string_view reason)
{
    PeerStream& stream = *m_streams.at(id);
    if (std::exchange(stream.closed, true))
        return;
    stream.closeCode = code;
    stream.closeReason = reason;
    stream.changed.cancel();
    stream.writable.cancel();
    // Called outside the executor, emit() would post a function that holds a pointer to the signal, and the stream may
    // be destroyed before that function runs.
    if (stream.handlerRunning && !stream.endSent)
        asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), id] { self->cancelHandler(id); });
}

void PeerSession::cancelHandler(StreamId id)
{
    PeerStream* stream = find(id);
    if (stream && stream->handlerRunning)
        stream->cancelHandler.emit(asio::cancellation_type::terminal);
}

void PeerSession::eraseIfDone(StreamId id)
{
    PeerStream* stream = find(id);
    const bool isDone = stream && m_role == Role::Server && stream->closed && !stream->handlerRunning;
    if (isDone)
        release(id, NGHTTP2_NO_ERROR);
}

void PeerSession::release(StreamId id, std::uint32_t code)
{
    auto it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    const std::unique_ptr<PeerStream> stream = std::move(it->second);
    m_streams.erase(it);
    if (m_closed)
        return;
    // Returns the window of unread bytes to the connection.
    nghttp2_session_consume(m_session.get(), id.value(), stream->incoming.size());
    if (!stream->closed)
        nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, id.value(), code);
    wakeLoops();
}

ExchangeError PeerSession::failure(const PeerStream& stream) const
{
    if (m_role == Role::Server)
        return { ErrorKind::Cancelled, false, stream.closeReason };
    // nghttp2 also closes streams above the last stream id of a GOAWAY with REFUSED_STREAM.
    const bool refused = stream.closeCode == NGHTTP2_REFUSED_STREAM && !stream.headReceived;
    return { ErrorKind::PeerFailed, refused || !stream.headMayBeSent, stream.closeReason };
}

ExchangeError PeerSession::missingStreamError() const
{
    return { m_role == Role::Server ? ErrorKind::Cancelled : ErrorKind::PeerFailed, false, "the stream was released" };
}

tl::expected<StreamId, ExchangeError> PeerSession::submitRequest(const RequestHead& head, Clock::time_point deadline)
{
    const HeaderBlock block(head, m_remote);
    if (block.byteCount() > m_limits.headerBytes.count())
        return tl::unexpected(ExchangeError { ErrorKind::HeadersTooLarge, true, "request head above the limit" });
    const auto fields = block.view();
    const auto provider = SessionCallbacks::bodyProvider();
    const bool hasBody = head.bodyLength.kind != BodyLength::Kind::None;
    const auto id = nghttp2_submit_request(
        m_session.get(), nullptr, fields.data(), fields.size(), hasBody ? &provider : nullptr, nullptr);
    if (id < 0)
        return tl::unexpected(ExchangeError { ErrorKind::PeerFailed, true, nghttp2_strerror(id) });
    PeerStream& stream = addStream(StreamId(id));
    stream.endQueued = !hasBody;
    if (head.bodyLength.kind == BodyLength::Kind::Exact)
        stream.bytesLeft = head.bodyLength.bytes.count();
    stream.changed.expires_at(deadline);
    wakeLoops();
    return StreamId(id);
}

ExchangeResult<void> PeerSession::sendRequestBody(StreamId id, ReadBody readBody)
{
    auto self = shared_from_this();
    auto first = co_await (pumpBody(id, readBody) || waitForEarlyResponse(id));
    const PeerStream* stream = find(id);
    const bool isResponded = stream && stream->closed && stream->headReceived;
    if (first.index() == 0 && !isResponded)
        co_return std::get<0>(std::move(first));
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> PeerSession::pumpBody(StreamId id, const ReadBody& readBody)
{
    std::array<char, relayBufferBytes> buf;
    while (true) {
        auto n = co_await readBody(asio::buffer(buf));
        if (!n)
            co_return tl::unexpected(n.error());
        if (*n == 0)
            co_return finishBody(id);
        if (auto written = co_await writeBody(id, asio::buffer(buf.data(), *n)); !written)
            co_return written;
    }
}

// Completes when the rest of the request body need not be sent: the stream has ended, its deadline has passed, or an
// error response has arrived.
asio::awaitable<void> PeerSession::waitForEarlyResponse(StreamId id)
{
    while (true) {
        PeerStream* stream = find(id);
        if (!stream || stream->closed || stream->endReceived)
            co_return;
        if (stream->headReceived && stream->head.status >= firstErrorStatus)
            co_return;
        auto [ec] = co_await stream->changed.async_wait(useTuple);
        if (!ec)
            co_return;
    }
}

ExchangeResult<ResponseHead> PeerSession::readHead(
    StreamId id, Clock::time_point deadline, const ShouldAbandonSuspected& shouldAbandonSuspected)
{
    auto self = shared_from_this();
    bool wasAsked = false;
    while (true) {
        PeerStream* stream = find(id);
        if (!stream)
            co_return tl::unexpected(missingStreamError());
        if (stream->headReceived) {
            stream->changed.expires_at(Clock::time_point::max());
            co_return std::move(stream->head).toResponse();
        }
        if (stream->closed)
            co_return tl::unexpected(failure(*stream));
        if (Clock::now() >= deadline) {
            const bool notRun = !stream->headMayBeSent;
            co_return tl::unexpected(ExchangeError { ErrorKind::DeadlineExceeded, notRun, "no response head" });
        }
        if (m_silence.isSuspected() && shouldAbandonSuspected && !std::exchange(wasAsked, true)
            && shouldAbandonSuspected(stream->headMayBeSent))
            co_return tl::unexpected(ExchangeError { ErrorKind::PeerFailed, !stream->headMayBeSent, suspectedReason });
        co_await stream->changed.async_wait(useTuple);
    }
}

ExchangeResult<void> PeerSession::submitResponse(StreamId id, ResponseHead head)
{
    PeerStream* stream = find(id);
    if (!stream || stream->closed)
        co_return tl::unexpected(stream ? failure(*stream) : missingStreamError());
    const HeaderBlock block(head);
    if (block.byteCount() > m_limits.headerBytes.count())
        co_return tl::unexpected(ExchangeError { ErrorKind::HeadersTooLarge, false, "response head above the limit" });
    const auto fields = block.view();
    const auto provider = SessionCallbacks::bodyProvider();
    const bool hasBody = head.bodyLength.kind != BodyLength::Kind::None;
    const int error = nghttp2_submit_response(
        m_session.get(), id.value(), fields.data(), fields.size(), hasBody ? &provider : nullptr);
    if (error)
        co_return tl::unexpected(ExchangeError { ErrorKind::Internal, false, nghttp2_strerror(error) });
    stream->headSubmitted = true;
    stream->endQueued = !hasBody;
    if (head.bodyLength.kind == BodyLength::Kind::Exact && stream->head.method != "HEAD")
        stream->bytesLeft = head.bodyLength.bytes.count();
    wakeLoops();
    co_return tl::expected<void, ExchangeError> {};
}

bool PeerSession::isCancelled(StreamId id) const
{
    auto it = m_streams.find(id);
    return it == m_streams.end() || it->second->closed;
}

void PeerSession::handlerEnded(StreamId id)
{
    PeerStream* stream = find(id);
    if (!stream)
        return;
    stream->handlerRunning = false;
    if (!stream->endQueued && !stream->closed)
        resetStream(id, NGHTTP2_INTERNAL_ERROR);
    eraseIfDone(id);
}

ExchangeResult<std::size_t> PeerSession::readBody(StreamId id, asio::mutable_buffer buf)
{
    auto self = shared_from_this();
    while (true) {
        PeerStream* stream = find(id);
        if (!stream)
            co_return tl::unexpected(missingStreamError());
        if (stream->incoming.size() > 0) {
            const std::size_t n = stream->incoming.take(buf.data(), buf.size());
            nghttp2_session_consume(m_session.get(), id.value(), n);
            wakeLoops();
            co_return n;
        }
        if (stream->endReceived)
            co_return std::size_t { 0 };
        if (stream->closed) {
            ExchangeError error = failure(*stream);
            if (m_role == Role::Client)
                error = { ErrorKind::UpstreamTruncated, false, stream->closeReason };
            co_return tl::unexpected(std::move(error));
        }
        co_await stream->changed.async_wait(useTuple);
    }
}

ExchangeResult<void> PeerSession::writeBody(StreamId id, asio::const_buffer buf)
{
    auto self = shared_from_this();
    while (buf.size() > 0) {
        PeerStream* stream = find(id);
        if (!stream || stream->closed)
            co_return tl::unexpected(stream ? failure(*stream) : missingStreamError());
        if (m_role == Role::Server && stream->head.method == "HEAD")
            break;
        if (stream->endQueued || (stream->bytesLeft && *stream->bytesLeft < buf.size()))
            co_return tl::unexpected(ExchangeError { ErrorKind::Internal, false, "body longer than declared" });
        if (stream->outgoing.size() >= m_limits.sendBuffer.count()) {
            co_await stream->writable.async_wait(useTuple);
            continue;
        }
        const std::size_t n = std::min<std::size_t>(buf.size(), m_limits.sendBuffer.count() - stream->outgoing.size());
        stream->outgoing.append(buf.data(), n);
        if (stream->bytesLeft)
            *stream->bytesLeft -= n;
        buf += n;
        nghttp2_session_resume_data(m_session.get(), id.value());
        wakeLoops();
    }
    co_return tl::expected<void, ExchangeError> {};
}

tl::expected<void, ExchangeError> PeerSession::finishBody(StreamId id)
{
    PeerStream* stream = find(id);
    if (!stream)
        return tl::unexpected(missingStreamError());
    if (stream->endQueued)
        return {};
    if (stream->closed)
        return tl::unexpected(failure(*stream));
    if (m_role == Role::Server && !stream->headSubmitted)
        return tl::unexpected(ExchangeError { ErrorKind::Internal, false, "finished without a head" });
    // The stream stays open until its owner resets it.
    if (stream->bytesLeft.value_or(0) > 0)
        return tl::unexpected(ExchangeError { ErrorKind::Internal, false, "body shorter than declared" });
    stream->endQueued = true;
    nghttp2_session_resume_data(m_session.get(), id.value());
    wakeLoops();
    return {};
}

ExchangeResult<void> PeerSession::finish(StreamId id) { co_return finishBody(id); }

ByteCount PeerSession::bufferedBytes() const
{
    std::uint64_t n = 0;
    for (const auto& [id, stream] : m_streams)
        n += stream->incoming.size();
    return ByteCount(n);
}

} // namespace dogwoodhall
