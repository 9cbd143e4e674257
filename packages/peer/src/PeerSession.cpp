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
constexpr std::size_t inputBytes = 64 * 1024; // For each read; on the stack, so that idle connections hold none.
// Output buffers above this size are freed when a connection has nothing to send.
constexpr std::size_t keptOutputBytes = 4 * 1024;
// Bytes that the kernel holds unsent. More would queue short answers behind long bodies that nghttp2 can no longer
// reorder: 4 MB, the kernel's own limit, take 8 ms at 4 Gbit/s.
constexpr int unsentBytes = 128 * 1024;
// Output is collected up to this size before each write; a frame of 16 KB may exceed it once.
constexpr std::size_t outputBytes = 32 * 1024;
// For the other side to read the rest after the last frame: closing with unread input makes TCP discard it.
constexpr auto lingerTime = std::chrono::seconds(2);

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
    , m_outputWanted(m_socket.get_executor(), Clock::time_point::max())
    , m_watch(m_socket.get_executor(), Clock::time_point::max())
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
    m_socket.set_option(NotSentLowWater(unsentBytes), ec);
    m_socket.non_blocking(true, ec);
    m_lastReceived = Clock::now();
    if (!m_closed)
        co_await (readLoop() || writeLoop() || watchLoop());
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
    m_outputWanted.cancel();
    m_watch.cancel();
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
    if (m_lastAccepted)
        return;
    m_lastAccepted = nghttp2_session_get_last_proc_stream_id(m_session.get());
    nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, *m_lastAccepted, NGHTTP2_NO_ERROR, nullptr, 0);
    wake();
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
    std::array<std::uint8_t, inputBytes> input;
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
    wake();
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
            if (m_output.capacity() > keptOutputBytes)
                std::vector<std::uint8_t>().swap(m_output);
            co_await m_outputWanted.async_wait(useTuple);
        }
    }
}

void PeerSession::collectOutput()
{
    m_output.clear();
    while (m_output.size() < outputBytes) {
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

asio::awaitable<void> PeerSession::watchLoop()
{
    while (!m_closed) {
        // A suspicion without streams ends by an answer or by the timeout, too.
        m_watchIsIdle = m_streams.empty() && !m_silence.isSuspected();
        m_watchArmed = Clock::now();
        if (m_watchIsIdle) {
            m_pingSent.reset();
            m_watch.expires_at(Clock::time_point::max());
        } else {
            m_watch.expires_after(toClock(m_limits.pingInterval));
        }
        auto [ec] = co_await m_watch.async_wait(useTuple);
        if (!ec && !checkSilence())
            co_return;
    }
}

// False when a PING was not answered in time.
bool PeerSession::checkSilence()
{
    const auto now = Clock::now();
    // A timer that fires this late means that this process was paused; what arrived meanwhile is not read yet.
    if (now - m_watchArmed > 2 * m_limits.pingInterval) {
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
        wake();
    }
    return true;
}

void PeerSession::waitStarted() { m_silence.waitStarted(toTimePoint(Clock::now())); }

void PeerSession::waitEnded() { m_silence.waitEnded(toTimePoint(Clock::now())); }

std::optional<SendSilencePing> PeerSession::checkWaits()
{
    const auto action = m_silence.tick(toTimePoint(Clock::now()));
    if (!action)
        return std::nullopt;
    if (const auto* ping = std::get_if<SendSilencePing>(&*action))
        return *ping;
    reportSilence(SilenceChange::Suspected);
    // Each exchange that waits decides whether it leaves.
    for (auto& [id, stream] : m_streams)
        stream->changed.cancel();
    wake();
    return std::nullopt;
}

void PeerSession::sendSilencePing()
{
    m_lastSilencePing = toTimePoint(Clock::now());
    m_silence.pingSent(m_lastSilencePing);
    nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
    wake();
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
    m_watchIsIdle = false;
    m_watch.expires_after(lingerTime);
    auto discard = [this]() -> asio::awaitable<void> {
        std::array<std::uint8_t, 1024> ignored;
        while (true) {
            auto [error, n] = co_await m_socket.async_read_some(asio::buffer(ignored), useTuple);
            if (error)
                co_return;
        }
    };
    co_await (discard() || m_watch.async_wait(useTuple));
}

void PeerSession::wake()
{
    m_outputWanted.cancel();
    if (m_watchIsIdle && (!m_streams.empty() || m_silence.isSuspected()))
        m_watch.cancel();
}

} // namespace dogwoodhall
