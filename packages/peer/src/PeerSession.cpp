#include "PeerSession.h"

#include "SessionCallbacks.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <utility>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readBufferBytes = 64 * 1024; // Per read. On the stack, so that idle connections hold no buffer.
// Larger output buffers are freed when a connection has nothing to send.
constexpr std::size_t maxIdleOutputBytes = 4 * 1024;
// Limit on unsent bytes in the kernel's send buffer. A larger backlog would delay short responses behind long bodies
// that nghttp2 can no longer reorder: the kernel's own limit of 4 MB takes 8 ms to send at 4 Gbit/s.
constexpr int notSentLowWaterBytes = 128 * 1024;
// Output is collected up to this size before each write; the last frame of up to 16 KB may exceed it.
constexpr std::size_t outputBatchBytes = 32 * 1024;
// Time for the remote side to read what was sent last: closing a socket with unread input makes TCP discard it.
constexpr auto lingerTimeout = std::chrono::seconds(2);

using NotSentLowWater = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

TimePoint toTimePoint(PeerSession::Clock::time_point t) { return TimePoint(t.time_since_epoch()); }

auto toClock(Duration d) { return std::chrono::duration_cast<PeerSession::Clock::duration>(d); }

} // namespace

PeerSession::PeerSession(asio::ip::tcp::socket socket, Role role, const PeerLimits& limits,
    std::shared_ptr<PeerDiagnostics> diagnostics, std::string remote, std::function<void(StreamId)> onRequest)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_limits(limits)
    , m_diagnostics(std::move(diagnostics))
    , m_remote(std::move(remote))
    , m_onRequest(std::move(onRequest))
    , m_session(SessionCallbacks::open(*this), nghttp2_session_del)
    , m_outputReady(m_socket.get_executor(), Clock::time_point::max())
    , m_keepAliveTimer(m_socket.get_executor(), Clock::time_point::max())
    , m_lastReceived(Clock::now())
{
    const auto window = static_cast<std::uint32_t>(m_limits.streamWindow.count());
    const auto headerBytes = static_cast<std::uint32_t>(m_limits.headerBytes.count());
    const std::array<nghttp2_settings_entry, 4> settings { {
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window },
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, headerBytes },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_role == Role::Server ? m_limits.concurrentStreams : 0 },
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    } };
    nghttp2_submit_settings(m_session.get(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(
        m_session.get(), NGHTTP2_FLAG_NONE, 0, static_cast<std::int32_t>(m_limits.connectionWindow.count()));
}

PeerSession::~PeerSession() = default;

asio::awaitable<std::optional<std::string>> PeerSession::connect(asio::ip::tcp::endpoint target)
{
    asio::steady_timer timeout(m_socket.get_executor(), toClock(m_limits.connectTimeout));
    auto first = co_await (m_socket.async_connect(target, useTuple) || timeout.async_wait(useTuple));
    if (first.index() != 0)
        co_return "no connection within the connect timeout";
    auto [ec] = std::get<0>(first);
    if (ec)
        co_return ec.message();
    co_return std::nullopt;
}

asio::awaitable<void> PeerSession::run()
{
    auto self = shared_from_this();
    boost::system::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    m_socket.set_option(asio::socket_base::keep_alive(true), ec);
    m_socket.set_option(NotSentLowWater(notSentLowWaterBytes), ec);
    m_socket.non_blocking(true, ec);
    m_lastReceived = Clock::now();
    if (!m_closed)
        co_await (readLoop() || writeLoop() || keepAliveLoop());
    if (!m_closed && m_closeReason.empty() && isFinished()) {
        failStreams("the connection ended");
        co_await lingerUntilEof();
    }
    close("the connection ended");
}

void PeerSession::close(std::string_view reason)
{
    if (std::exchange(m_closed, true))
        return;
    if (m_closeReason.empty())
        m_closeReason = reason;
    boost::system::error_code ec;
    m_socket.close(ec);
    m_outputReady.cancel();
    m_keepAliveTimer.cancel();
    if (m_silence.isSuspected())
        reportSilence(SilenceChange::Closed);
    failStreams(m_closeReason);
}

void PeerSession::failStreams(std::string_view reason)
{
    std::vector<StreamId> ids;
    for (const auto& [id, stream] : m_streams) {
        closeStream(id, NGHTTP2_INTERNAL_ERROR, reason);
        ids.push_back(id);
    }
    for (StreamId id : ids)
        eraseIfDone(id);
}

void PeerSession::startShutdown()
{
    if (m_lastAcceptedStream)
        return;
    m_lastAcceptedStream = nghttp2_session_get_last_proc_stream_id(m_session.get());
    nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, *m_lastAcceptedStream, NGHTTP2_NO_ERROR, nullptr, 0);
    wakeLoops();
}

bool PeerSession::acceptsRequests() const
{
    return !m_closed && !m_goawayReceived && nghttp2_session_check_request_allowed(m_session.get());
}

asio::awaitable<void> PeerSession::readLoop()
{
    while (!m_closed && m_closeReason.empty()) {
        auto [ec] = co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, useTuple);
        if (ec)
            co_return;
        receive();
    }
}

void PeerSession::receive()
{
    std::array<std::uint8_t, readBufferBytes> input;
    boost::system::error_code ec;
    const std::size_t n = m_socket.read_some(asio::buffer(input), ec);
    if (ec == asio::error::would_block)
        return;
    if (ec) {
        m_closeReason = ec.message();
        return;
    }
    m_lastReceived = Clock::now();
    if (m_silence.bytesArrived(toTimePoint(m_lastReceived)))
        reportSilence(SilenceChange::Trusted);
    const auto taken = nghttp2_session_mem_recv(m_session.get(), input.data(), n);
    if (taken < 0) {
        ++m_diagnostics->counters.protocolErrors;
        m_closeReason = nghttp2_strerror(static_cast<int>(taken));
        m_diagnostics->report("Closed the connection with " + m_remote + ": " + m_closeReason);
        return;
    }
    for (StreamId id : std::exchange(m_newRequests, {})) {
        if (PeerStream* stream = find(id); stream && !stream->closed)
            m_onRequest(id);
        eraseIfDone(id);
    }
    wakeLoops();
}

asio::awaitable<void> PeerSession::writeLoop()
{
    while (!m_closed) {
        collectOutput();
        if (!m_output.empty()) {
            auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(m_output), useTuple);
            if (ec)
                co_return;
        } else if (isFinished()) {
            co_return;
        } else {
            if (m_output.capacity() > maxIdleOutputBytes)
                std::vector<std::uint8_t>().swap(m_output);
            co_await m_outputReady.async_wait(useTuple);
        }
    }
}

void PeerSession::collectOutput()
{
    m_output.clear();
    while (m_output.size() < outputBatchBytes) {
        const std::uint8_t* data = nullptr;
        const auto n = nghttp2_session_mem_send(m_session.get(), &data);
        if (n <= 0)
            return;
        m_output.insert(m_output.end(), data, data + n);
    }
}

bool PeerSession::isFinished() const
{
    return !nghttp2_session_want_read(m_session.get()) && !nghttp2_session_want_write(m_session.get());
}

asio::awaitable<void> PeerSession::keepAliveLoop()
{
    while (!m_closed) {
        // A suspected connection without streams is also pinged, so that it is either trusted again or closed.
        m_isKeepAliveIdle = m_streams.empty() && !m_silence.isSuspected();
        m_keepAliveArmedAt = Clock::now();
        if (m_isKeepAliveIdle) {
            m_pingSent.reset();
            m_keepAliveTimer.expires_at(Clock::time_point::max());
        } else {
            m_keepAliveTimer.expires_after(toClock(m_limits.pingInterval));
        }
        auto [ec] = co_await m_keepAliveTimer.async_wait(useTuple);
        if (!ec && !checkKeepAlive())
            co_return;
    }
}

// Returns false if a PING was not acknowledged in time.
bool PeerSession::checkKeepAlive()
{
    const auto now = Clock::now();
    // A timer that fires this late means that this process was paused; data received meanwhile has not been read yet.
    if (now - m_keepAliveArmedAt > 2 * m_limits.pingInterval) {
        m_pingSent.reset();
        m_lastReceived = now;
    }
    if (m_pingSent && m_lastReceived < *m_pingSent) {
        const Duration timeout = m_role == Role::Client ? m_limits.pingTimeout : m_limits.serverPingTimeout;
        if (now - *m_pingSent < timeout)
            return true;
        ++m_diagnostics->counters.silentConnections;
        m_closeReason = "no answer to a PING";
        m_diagnostics->report("Closed the connection with " + m_remote + ": " + m_closeReason);
        return false;
    }
    m_pingSent.reset();
    if (now - m_lastReceived >= m_limits.pingInterval) {
        nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
        m_pingSent = now;
        wakeLoops();
    }
    return true;
}

void PeerSession::waitStarted() { m_silence.waitStarted(toTimePoint(Clock::now())); }

void PeerSession::waitEnded() { m_silence.waitEnded(toTimePoint(Clock::now())); }

std::optional<SendSilencePing> PeerSession::tickSilence()
{
    const auto action = m_silence.tick(toTimePoint(Clock::now()));
    if (!action)
        return std::nullopt;
    if (const auto* ping = std::get_if<SendSilencePing>(&*action))
        return *ping;
    reportSilence(SilenceChange::Suspected);
    // Wakes all waiting exchanges, each of which decides whether to abandon its stream.
    for (auto& [id, stream] : m_streams)
        stream->changed.cancel();
    wakeLoops();
    return std::nullopt;
}

void PeerSession::sendSilencePing()
{
    m_lastSilencePing = toTimePoint(Clock::now());
    m_silence.pingSent(m_lastSilencePing);
    nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
    wakeLoops();
}

void PeerSession::reportSilence(SilenceChange change)
{
    if (m_silenceChanged)
        m_silenceChanged(change);
}

asio::awaitable<void> PeerSession::lingerUntilEof()
{
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    m_isKeepAliveIdle = false;
    m_keepAliveTimer.expires_after(lingerTimeout);
    auto discard = [this]() -> asio::awaitable<void> {
        std::array<std::uint8_t, 1024> ignored;
        while (true) {
            auto [error, n] = co_await m_socket.async_read_some(asio::buffer(ignored), useTuple);
            if (error)
                co_return;
        }
    };
    co_await (discard() || m_keepAliveTimer.async_wait(useTuple));
}

void PeerSession::wakeLoops()
{
    m_outputReady.cancel();
    if (m_isKeepAliveIdle && (!m_streams.empty() || m_silence.isSuspected()))
        m_keepAliveTimer.cancel();
}

} // namespace dogwoodhall
