#pragma once

#include "PeerStream.h"

#include "dogwoodhall/fleet/SilenceDetector.h"
#include "dogwoodhall/peer/PeerLimits.h"
#include "dogwoodhall/peer/PeerSilence.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

// Counters and log callback of one client or server, shared with its sessions.
struct PeerDiagnostics {
    void report(std::string_view sentence) const
    {
        if (log)
            log(sentence);
    }

    PeerCounters counters;
    PeerLog log;
};

// One HTTP/2 connection and its streams. Kept alive by its owner's table and by the coroutines that use it. A stream
// exists until its user releases it, so that data received before a failure can still be read.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
    using Clock = std::chrono::steady_clock;
    enum class Role : std::uint8_t { Client, Server };

    // `onRequest` is called for each new stream of a server, never from inside an nghttp2 callback.
    PeerSession(asio::ip::tcp::socket, Role, const PeerLimits&, std::shared_ptr<PeerDiagnostics>, std::string remote,
        std::function<void(StreamId)> onRequest);
    ~PeerSession();

    PeerSession(const PeerSession&) = delete;
    PeerSession& operator=(const PeerSession&) = delete;

    // Client. Connects the socket. Returns an error message on failure.
    asio::awaitable<std::optional<std::string>> connect(asio::ip::tcp::endpoint);

    // Serves the connection until it ends.
    asio::awaitable<void> run();

    // Closes the connection. All incomplete streams fail.
    void close(std::string_view reason);

    // Sends GOAWAY; the connection ends when the running streams have ended.
    void startShutdown();

    // Client. True if another stream can be started.
    bool acceptsRequests() const;

    // Client. Queues a request head. `deadline` limits the wait for the response head.
    tl::expected<StreamId, ExchangeError> submitRequest(const RequestHead&, Clock::time_point deadline);
    ExchangeResult<void> sendRequestBody(StreamId, ReadBody);
    // `shouldAbandonSuspected` is called if the peer becomes suspected and must outlive the call. If null, the stream
    // is kept.
    ExchangeResult<ResponseHead> readHead(
        StreamId, Clock::time_point deadline, const ShouldAbandonSuspected& shouldAbandonSuspected);

    // Client. Called when an exchange starts and stops waiting for its response.
    void waitStarted();
    void waitEnded();
    // Client. Advances silence detection while an exchange waits. Returns a value if a PING is due; the caller sends it
    // with sendSilencePing() if the budget allows.
    std::optional<SendSilencePing> tickSilence();
    void sendSilencePing();
    // Client. `changed` is called for each change, never from inside an nghttp2 callback.
    void setSilenceChanged(std::function<void(SilenceChange)> changed) { m_silenceChanged = std::move(changed); }
    const SilenceDetector& silence() const { return m_silence; }
    TimePoint lastSilencePing() const { return m_lastSilencePing; }

    // Server.
    PeerStream* find(StreamId);
    ExchangeResult<void> submitResponse(StreamId, ResponseHead);
    void handlerEnded(StreamId);
    bool isCancelled(StreamId) const; // True if the stream was reset or its connection was lost.

    ExchangeResult<std::size_t> readBody(StreamId, asio::mutable_buffer);
    // Completes when all bytes have been queued or sent.
    ExchangeResult<void> writeBody(StreamId, asio::const_buffer);
    tl::expected<void, ExchangeError> finishBody(StreamId);
    ExchangeResult<void> finish(StreamId); // finishBody() with the signature of ResponseWriter::finish.

    // Removes the stream, resetting it with `code` unless it is closed.
    void release(StreamId, std::uint32_t code);

    const std::string& remote() const { return m_remote; }
    ByteCount bufferedBytes() const;

private:
    friend struct SessionCallbacks;

    asio::awaitable<void> readLoop();
    asio::awaitable<void> writeLoop();
    asio::awaitable<void> keepAliveLoop();
    asio::awaitable<void> waitForEarlyResponse(StreamId);
    ExchangeResult<void> pumpBody(StreamId, const ReadBody&);
    asio::awaitable<void> lingerUntilEof();
    void receive();
    void collectOutput();
    bool isFinished() const;
    bool checkKeepAlive();
    void reportSilence(SilenceChange);
    void wakeLoops();
    PeerStream& addStream(StreamId);
    void resetStream(StreamId, std::uint32_t code);
    void closeStream(StreamId, std::uint32_t code, std::string_view reason);
    void cancelHandler(StreamId);
    void failStreams(std::string_view reason);
    void eraseIfDone(StreamId);
    ExchangeError failure(const PeerStream&) const;
    ExchangeError missingStreamError() const;

    asio::ip::tcp::socket m_socket;
    Role m_role;
    PeerLimits m_limits;
    std::shared_ptr<PeerDiagnostics> m_diagnostics;
    std::string m_remote;
    std::function<void(StreamId)> m_onRequest;
    std::unique_ptr<nghttp2_session, void (*)(nghttp2_session*)> m_session;
    std::unordered_map<StreamId, std::unique_ptr<PeerStream>> m_streams;
    std::vector<StreamId> m_newRequests;
    std::vector<std::uint8_t> m_output;
    asio::steady_timer m_outputReady;
    asio::steady_timer m_keepAliveTimer;
    bool m_isKeepAliveIdle = false;
    Clock::time_point m_lastReceived;
    Clock::time_point m_keepAliveArmedAt;
    std::optional<Clock::time_point> m_pingSent;
    SilenceDetector m_silence;
    TimePoint m_lastSilencePing;
    std::function<void(SilenceChange)> m_silenceChanged;
    bool m_closed = false;
    bool m_goawayReceived = false;
    std::optional<std::int32_t>
        m_lastAcceptedStream; // Server. Set when GOAWAY is queued; streams with higher ids are refused.
    std::string m_closeReason;
};

} // namespace dogwoodhall
