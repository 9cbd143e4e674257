#include "SessionCallbacks.h"

#include "PeerSession.h"

#include <string>

namespace dogwoodhall {

namespace {

PeerSession& sessionOf(void* user) { return *static_cast<PeerSession*>(user); }

std::string_view textOf(const std::uint8_t* data, std::size_t n) { return { reinterpret_cast<const char*>(data), n }; }

bool endsStream(const nghttp2_frame* frame) { return (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0; }

bool isRequestHead(const nghttp2_frame* frame)
{
    return frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
}

// True for the codes that nghttp2 sends in RST_STREAM or GOAWAY after a protocol error of the remote side. This side
// does not send them otherwise.
bool isProtocolError(std::uint32_t code)
{
    return code != NGHTTP2_NO_ERROR && code != NGHTTP2_INTERNAL_ERROR && code != NGHTTP2_CANCEL
        && code != NGHTTP2_REFUSED_STREAM;
}

} // namespace

nghttp2_session* SessionCallbacks::open(PeerSession& session)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* options = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_option_new(&options);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, onBeforeFrameSent);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, onFrameNotSent);
    // Flow-control windows are updated as bodies are read, so that a slow reader applies back-pressure to the sender.
    nghttp2_option_set_no_auto_window_update(options, 1);
    nghttp2_option_set_no_closed_streams(options, 1);
    nghttp2_option_set_peer_max_concurrent_streams(options, session.m_limits.concurrentStreams);
    nghttp2_session* opened = nullptr;
    if (session.m_role == PeerSession::Role::Client)
        nghttp2_session_client_new2(&opened, callbacks, &session, options);
    else
        nghttp2_session_server_new2(&opened, callbacks, &session, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    return opened;
}

nghttp2_data_provider SessionCallbacks::bodyProvider()
{
    nghttp2_data_provider provider = {};
    provider.read_callback = readBody;
    return provider;
}

int SessionCallbacks::onBeginHeaders(nghttp2_session* raw, const nghttp2_frame* frame, void* user)
{
    PeerSession& session = sessionOf(user);
    const StreamId id(frame->hd.stream_id);
    if (session.m_role == PeerSession::Role::Server && isRequestHead(frame)) {
        if (session.m_lastAcceptedStream && id.value() > *session.m_lastAcceptedStream)
            return nghttp2_submit_rst_stream(raw, NGHTTP2_FLAG_NONE, id.value(), NGHTTP2_REFUSED_STREAM);
        session.addStream(id);
    } else if (PeerStream* stream = session.find(id); stream && !stream->headReceived) {
        // Discards the head of an interim response (100 Continue, 103 Early Hints).
        stream->head = {};
    }
    return 0;
}

int SessionCallbacks::onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* user)
{
    PeerSession& session = sessionOf(user);
    PeerStream* stream = session.find(StreamId(frame->hd.stream_id));
    if (!stream)
        return 0;
    stream->head.byteCount += nameLength + valueLength;
    if (stream->head.byteCount > session.m_limits.headerBytes.count()) {
        ++session.m_diagnostics->counters.oversizedHeads;
        session.m_diagnostics->report(
            "Reset a stream of " + session.m_remote + ": its header fields exceed the limit.");
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    // Fields received after the head are trailers, which are not forwarded.
    if (!stream->headReceived)
        stream->head.add(textOf(name, nameLength), textOf(value, valueLength));
    return 0;
}

int SessionCallbacks::onFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    PeerSession& session = sessionOf(user);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        session.m_goawayReceived = true;
        return 0;
    }
    if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)
        return 0;
    const StreamId id(frame->hd.stream_id);
    PeerStream* stream = session.find(id);
    if (!stream)
        return 0;
    const bool isServer = session.m_role == PeerSession::Role::Server;
    if (frame->hd.type == NGHTTP2_HEADERS && !stream->headReceived && (isServer || stream->head.status >= 200)) {
        stream->headReceived = true;
        stream->head.endsStream = endsStream(frame);
        if (isServer)
            session.m_newRequests.push_back(id);
    }
    if (endsStream(frame))
        stream->endReceived = true;
    stream->changed.cancel();
    return 0;
}

int SessionCallbacks::onData(
    nghttp2_session* raw, std::uint8_t, std::int32_t id, const std::uint8_t* data, std::size_t n, void* user)
{
    PeerStream* stream = sessionOf(user).find(StreamId(id));
    if (!stream)
        return nghttp2_session_consume(raw, id, n);
    stream->incoming.append(data, n);
    stream->changed.cancel();
    return 0;
}

int SessionCallbacks::onStreamClosed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user)
{
    PeerSession& session = sessionOf(user);
    if (session.find(StreamId(id))) {
        session.closeStream(StreamId(id), code, nghttp2_http2_strerror(code));
        session.eraseIfDone(StreamId(id));
    }
    return 0;
}

int SessionCallbacks::onBeforeFrameSent(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    if (isRequestHead(frame)) {
        if (PeerStream* stream = sessionOf(user).find(StreamId(frame->hd.stream_id)))
            stream->headMayBeSent = true;
    }
    return 0;
}

void SessionCallbacks::recordError(PeerSession& session, std::string_view action, std::uint32_t code)
{
    PeerDiagnostics& diagnostics = *session.m_diagnostics;
    if (code == NGHTTP2_REFUSED_STREAM)
        ++diagnostics.counters.streamsRefused;
    else if (isProtocolError(code))
        ++diagnostics.counters.protocolErrors;
    else
        return;
    diagnostics.report(std::string(action) + session.m_remote + ": " + nghttp2_http2_strerror(code));
}

int SessionCallbacks::onFrameSent(nghttp2_session* raw, const nghttp2_frame* frame, void* user)
{
    if (frame->hd.type == NGHTTP2_RST_STREAM)
        recordError(sessionOf(user), "Reset a stream of ", frame->rst_stream.error_code);
    else if (frame->hd.type == NGHTTP2_GOAWAY)
        recordError(sessionOf(user), "Closed the connection with ", frame->goaway.error_code);
    if ((frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) || !endsStream(frame))
        return 0;
    PeerSession& session = sessionOf(user);
    PeerStream* stream = session.find(StreamId(frame->hd.stream_id));
    if (!stream)
        return 0;
    stream->endSent = true;
    // The response has been sent completely: tells the client to stop sending the rest of its request.
    if (session.m_role == PeerSession::Role::Server && !stream->endReceived)
        nghttp2_submit_rst_stream(raw, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    return 0;
}

int SessionCallbacks::onFrameNotSent(nghttp2_session*, const nghttp2_frame* frame, int error, void* user)
{
    PeerSession& session = sessionOf(user);
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    const StreamId id(frame->hd.stream_id);
    if (session.find(id))
        session.closeStream(id, NGHTTP2_INTERNAL_ERROR, nghttp2_strerror(error));
    return 0;
}

ssize_t SessionCallbacks::readBody(nghttp2_session*, std::int32_t id, std::uint8_t* buf, std::size_t length,
    std::uint32_t* flags, nghttp2_data_source*, void* user)
{
    PeerStream* stream = sessionOf(user).find(StreamId(id));
    if (!stream)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t n = stream->outgoing.take(buf, length);
    if (stream->outgoing.size() == 0 && stream->endQueued)
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    else if (n == 0)
        return NGHTTP2_ERR_DEFERRED;
    stream->writable.cancel();
    return static_cast<ssize_t>(n);
}

} // namespace dogwoodhall
