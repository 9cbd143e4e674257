#pragma once

#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/UseTuple.h"
#include "dogwoodhall/http/CallerSession.h"

#include "CurrentRequest.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <list>
#include <optional>
#include <string_view>

namespace dogwoodhall {

namespace beast = boost::beast;
namespace http = boost::beast::http;

inline constexpr std::size_t readChunkBytes = 4096;
inline constexpr std::string_view lineEnd = "\r\n";
inline constexpr std::string_view headEnd = "\r\n\r\n";

inline std::size_t lineCount(std::string_view text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

class CallerSession::Impl {
public:
    Impl(asio::ip::tcp::socket socket, CallerLimits limits, RequestHandler handler, CallerSessionHooks hooks,
        CallerAccount& account, ConnectionId id)
        : m_stream(std::move(socket))
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_hooks(std::move(hooks))
        , m_charge(account, id, std::move(m_hooks.relieve))
        , m_readTimer(m_stream.get_executor())
        , m_monitorEnd(m_stream.get_executor(), asio::steady_timer::time_point::max())
        , m_bodyFinished(m_stream.get_executor(), asio::steady_timer::time_point::max())
        , m_pipelineChanged(m_stream.get_executor(), asio::steady_timer::time_point::max())
    {
    }

    asio::awaitable<void> run();
    void setLimits(const CallerLimits&);
    void stopAfterCurrentRequest();
    void closeAfterNextResponse();
    std::size_t endRequestsInProgress();
    void evict(bool mayLinger);
    void abortIfEvicted();
    void endSlowTransfer();
    void chargeUnread();

private:
    asio::awaitable<bool> serveRequest();
    // Empty if the target is malformed.
    std::optional<IncomingRequest> makeRequest(CurrentRequest&);
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
    // For an error of the parser or of a read.
    ErrorKind rejectionFor(beast::error_code) const;
    asio::awaitable<void> respondToParseError(beast::error_code);
    asio::awaitable<void> refuseForLimit();
    void enter(CallerStage);
    RequestProgress progress(CurrentRequest&);
    void chargeConnection();
    void chargeHead(std::size_t bytes, std::size_t lines);
    static std::size_t headCharge(std::size_t bytes, std::size_t lines);
    bool hasRoomForAnswers();
    // False if the connection has to be closed.
    asio::awaitable<bool> awaitRoomForAnswers();
    ExchangeResult<std::size_t> readBody(asio::mutable_buffer);
    ExchangeResult<void> writeHead(CurrentRequest&, const ResponseHead&);
    ExchangeResult<void> writeBody(CurrentRequest&, asio::const_buffer);
    ExchangeResult<void> finish(CurrentRequest&);
    ResponseWriter writer(CurrentRequest&);
    asio::awaitable<void> waitForDisconnect();

    // Requests that run beside each other: m_current and those sent ahead, in CallerSessionAhead.cpp.
    bool canPipeline(const CurrentRequest&, const RequestHead&) const;
    void beginPipeline();
    void startPipelined(CurrentRequest&, IncomingRequest);
    // Reads ahead until all requests have ended. Returns whether the connection stays open.
    asio::awaitable<bool> servePipeline();
    asio::awaitable<void> runPipelined(CurrentRequest&, IncomingRequest);
    asio::awaitable<void> callHandler(CurrentRequest&, IncomingRequest);
    void endPipelined(CurrentRequest&, const std::exception_ptr&);
    // Returns whether the next request was complete in the buffer and has been started.
    bool startBuffered();
    bool parseBuffered(CurrentRequest&, std::string_view head) const;
    bool mayReadAhead();
    void handleReadable(beast::error_code);
    void cancelAfterDisconnect();
    // False if the request is cancelled before its turn.
    asio::awaitable<bool> awaitTurn(CurrentRequest&);
    bool beginSendingPipelined(CurrentRequest&);
    std::size_t endPipelinedRequests();
    void updatePipelineStage();
    void chargePipeline();
    template <typename Visitor> void forEachPipelined(const Visitor&);

    beast::tcp_stream m_stream;
    CallerLimits m_limits;
    RequestHandler m_handler;
    CallerSessionHooks m_hooks; // Without `relieve`.
    CallerCharge m_charge;
    CallerStage m_stage = CallerStage::Idle;
    bool m_isEvicted = false;
    bool m_lingersEvicted = false;
    bool m_isAbortDue = false; // At the next abortIfEvicted().
    std::size_t m_chargedBuffer = 0; // Bytes of m_buffer.
    beast::flat_buffer m_buffer;
    std::optional<CurrentRequest> m_current;
    std::size_t m_chargedHead = 0; // Of m_current.
    bool m_isAnswerWhole = false; // The last answer begun has been written completely.
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

    RequestPipeline m_pipeline; // Made anew when it was empty.
    std::list<CurrentRequest> m_ahead; // Behind m_current, in order.
    std::exception_ptr m_pipelineFailure;
    asio::steady_timer m_pipelineChanged; // Cancelled when a request has ended.
    std::size_t m_searchedBytes = 0; // Of m_buffer, without the end of a head.
    bool m_isReadAheadBlocked = false; // The next request has to be read after those in progress.
    bool m_isMonitoring = false; // For bytes to read, and for the caller's leaving.
    bool m_isAwaitingBytes = false;
    bool m_isMonitorWoken = false;
};

} // namespace dogwoodhall
