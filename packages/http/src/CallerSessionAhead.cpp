#include "CallerSessionImpl.h"

#include "BeastHeads.h"

#include <algorithm>
#include <array>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace dogwoodhall {

template <typename Visitor> void CallerSession::Impl::forEachPipelined(const Visitor& visit)
{
    visit(*m_current);
    for (auto& request : m_ahead)
        visit(request);
}

bool CallerSession::Impl::canPipeline(const CurrentRequest& current, const RequestHead& head) const
{
    return m_limits.requestsAhead > 1 && canRunAhead(head) && !current.expectsContinue && current.parser->is_done();
}

void CallerSession::Impl::beginPipeline()
{
    m_pipeline = RequestPipeline(m_limits.requestsAhead);
    if (m_isStopping || m_closesAfterNextResponse)
        m_pipeline.stop();
    m_isReadAheadBlocked = false;
    m_isMonitoring = true;
    m_searchedBytes = 0;
    m_current->pipelined.emplace(m_stream.get_executor(), m_pipeline.add(m_current->keepAlive));
    m_current->pipelined->headBytes = m_chargedHead;
}

void CallerSession::Impl::startPipelined(CurrentRequest& current, IncomingRequest request)
{
    request.progress = progress(current);
    request.readBody = emptyBody();
    auto ended = [this, &current](const std::exception_ptr& failure) { endPipelined(current, failure); };
    asio::co_spawn(m_stream.get_executor(), runPipelined(current, std::move(request)),
        asio::bind_cancellation_slot(current.pipelined->cancellation.slot(), std::move(ended)));
}

asio::awaitable<void> CallerSession::Impl::callHandler(CurrentRequest& current, IncomingRequest request)
{
    co_await asio::this_coro::throw_if_cancelled(true);
    co_await m_handler(std::move(request), writer(current));
}

asio::awaitable<void> CallerSession::Impl::runPipelined(CurrentRequest& current, IncomingRequest request)
{
    co_await asio::this_coro::throw_if_cancelled(false);
    std::exception_ptr failure;
    auto handled = callHandler(current, std::move(request));
    co_await captureException(std::move(handled), failure);
    if (failure)
        std::rethrow_exception(failure);
    if (!std::exchange(current.isEnded, false))
        co_return;
    co_await asio::this_coro::reset_cancellation_state();
    const auto responseWriter = writer(current);
    // An upstream may have received the request.
    co_await writeError(responseWriter, ErrorKind::DeadlineExceeded, Outcome::Unknown);
}

void CallerSession::Impl::endPipelined(CurrentRequest& current, const std::exception_ptr& failure)
{
    auto& pipelined = *current.pipelined;
    if (failure && !m_pipelineFailure)
        m_pipelineFailure = failure;
    pipelined.hasEnded = true;
    pipelined.headBytes = pipelined.keptBytes = 0;
    const bool wasFirst = m_pipeline.first() == pipelined.number;
    const auto ending
        = current.isResponseComplete ? RequestPipeline::Ending::Answered : RequestPipeline::Ending::Unanswered;
    const auto dropped = m_pipeline.end(pipelined.number, ending);
    forEachPipelined([&](CurrentRequest& request) {
        const auto number = request.pipelined->number;
        if (std::find(dropped.begin(), dropped.end(), number) != dropped.end())
            request.pipelined->cancellation.emit(asio::cancellation_type::terminal);
        else if (m_pipeline.isTurn(number))
            request.pipelined->turn.cancel();
    });
    chargePipeline();
    updatePipelineStage();
    m_pipelineChanged.cancel();
    // No answer is being written when the turn changes, so that this cancels only the wait for bytes.
    if (wasFirst && m_isAwaitingBytes) {
        m_isMonitorWoken = true;
        m_stream.cancel();
    }
}

asio::awaitable<bool> CallerSession::Impl::servePipeline()
{
    while (!m_pipeline.empty()) {
        m_ahead.remove_if([](const CurrentRequest& request) { return request.pipelined->hasEnded; });
        if (m_buffer.size() > 0 && mayReadAhead() && startBuffered())
            continue;
        if (m_isMonitoring) {
            m_isMonitorWoken = false;
            m_isAwaitingBytes = true;
            const auto [ec] = co_await m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, useTuple);
            m_isAwaitingBytes = false;
            if (!m_pipeline.empty())
                handleReadable(ec);
        } else {
            co_await m_pipelineChanged.async_wait(useTuple);
            m_isMonitoring = mayReadAhead();
        }
    }
    m_ahead.clear();
    if (m_pipelineFailure)
        std::rethrow_exception(m_pipelineFailure);
    co_return !m_pipeline.isClosing() && !m_isStopping;
}

bool CallerSession::Impl::mayReadAhead()
{
    return m_pipeline.mayReadNext() && !m_isReadAheadBlocked && !m_isEvicted && m_charge.hasRoomAhead()
        && hasRoomForAnswers();
}

// A half-closed connection looks the same as one with data to read, so that the caller's leaving shows only after what
// it sent has been read.
void CallerSession::Impl::handleReadable(beast::error_code ec)
{
    if (ec) {
        m_isMonitoring = m_isMonitorWoken;
        return;
    }
    const bool reads = m_buffer.size() < m_limits.headerBytes.count() && mayReadAhead();
    std::array<char, 1> peeked;
    const asio::mutable_buffer buf
        = reads ? asio::mutable_buffer(m_buffer.prepare(readChunkBytes)) : asio::buffer(peeked);
    // The wait can also end for bytes that have been read already; a read by Asio would then block the thread.
    const int flags = MSG_DONTWAIT | (reads ? 0 : MSG_PEEK);
    const auto n = ::recv(m_stream.socket().native_handle(), buf.data(), buf.size(), flags);
    const bool isSpurious = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (isSpurious)
        return;
    m_isMonitoring = reads;
    if (n <= 0) {
        cancelAfterDisconnect();
    } else if (reads) {
        m_buffer.commit(static_cast<std::size_t>(n));
        chargeConnection();
    }
}

void CallerSession::Impl::cancelAfterDisconnect()
{
    m_isMonitoring = false;
    m_pipeline.stop();
    // A caller that has received its complete response may close; the handler still has to release its resources.
    forEachPipelined([](CurrentRequest& request) {
        if (!request.pipelined->hasEnded && request.bytesLeft != 0)
            request.pipelined->cancellation.emit(asio::cancellation_type::terminal);
    });
}

bool CallerSession::Impl::startBuffered()
{
    while (bufferedText().starts_with(lineEnd)) {
        m_buffer.consume(lineEnd.size());
        m_searchedBytes = 0;
    }
    const auto text = bufferedText();
    const auto end = text.find(headEnd, m_searchedBytes);
    if (end == std::string_view::npos) {
        m_searchedBytes = text.size() - std::min(text.size(), headEnd.size() - 1);
        return false;
    }
    m_searchedBytes = 0;
    const auto head = text.substr(0, end);
    auto& next = m_ahead.emplace_back();
    auto request = parseBuffered(next, head) ? makeRequest(next) : std::nullopt;
    if (!request || !canPipeline(next, request->head)) {
        m_ahead.pop_back();
        m_isReadAheadBlocked = true;
        return false;
    }
    const auto lines = lineCount(head);
    next.pipelined.emplace(m_stream.get_executor(), m_pipeline.add(next.keepAlive));
    next.pipelined->headBytes = headCharge(head.size(), lines);
    next.isHandled = true;
    m_buffer.consume(head.size() + headEnd.size());
    chargePipeline();
    startPipelined(next, *std::move(request));
    return true;
}

// Only a valid request runs ahead: what is wrong with another one is found and answered when it is read in its turn.
bool CallerSession::Impl::parseBuffered(CurrentRequest& next, std::string_view head) const
{
    const auto lines = lineCount(head);
    const bool isWithinLimits
        = head.size() + headEnd.size() <= m_limits.headerBytes.count() && lines <= m_limits.headerFields + 1;
    if (!isWithinLimits || !hasValidLineEndings(head))
        return false;
    auto& parser = next.parser.emplace();
    parser.header_limit(static_cast<std::uint32_t>(m_limits.headerBytes.count()));
    beast::error_code ec;
    parser.put(asio::buffer(head.data(), head.size() + headEnd.size()), ec);
    return !ec && parser.is_done() && isSupportedRequest(parser.get()) && hasUnambiguousLength(parser.get());
}

asio::awaitable<bool> CallerSession::Impl::awaitTurn(CurrentRequest& current)
{
    const auto number = current.pipelined->number;
    while (!m_pipeline.isTurn(number)) {
        if (m_pipeline.isDropped(number))
            co_return false;
        co_await current.pipelined->turn.async_wait(useTuple);
        const auto state = co_await asio::this_coro::cancellation_state;
        if (state.cancelled() != asio::cancellation_type::none)
            co_return false;
    }
    co_return true;
}

bool CallerSession::Impl::beginSendingPipelined(CurrentRequest& current)
{
    auto& pipelined = *current.pipelined;
    const bool isUnsent = pipelined.stage == CallerStage::Body;
    if (m_pipeline.isDropped(pipelined.number) || (m_isEvicted && isUnsent))
        return false;
    if (isUnsent) {
        pipelined.stage = CallerStage::Sent;
        updatePipelineStage();
    }
    return true;
}

// Each is answered in its turn, the last one with the close. An answer that waits for its turn is kept.
std::size_t CallerSession::Impl::endPipelinedRequests()
{
    m_pipeline.stop();
    std::size_t ended = 0;
    forEachPipelined([&](CurrentRequest& request) {
        const bool canEnd = !request.pipelined->hasEnded && !request.pipelined->hasAnswer && !request.isEnded
            && !m_pipeline.isDropped(request.pipelined->number);
        if (!canEnd)
            return;
        request.isEnded = true;
        request.pipelined->cancellation.emit(asio::cancellation_type::terminal);
        ++ended;
    });
    return ended;
}

// The connection is at its first request if that is being answered, and otherwise at the one that is furthest.
void CallerSession::Impl::updatePipelineStage()
{
    if (m_pipeline.empty())
        return;
    auto stage = CallerStage::Body;
    forEachPipelined([&](const CurrentRequest& request) {
        const auto& pipelined = *request.pipelined;
        if (pipelined.hasEnded)
            return;
        if (pipelined.stage == CallerStage::Answer)
            stage = CallerStage::Answer;
        else if (pipelined.stage == CallerStage::Sent && stage == CallerStage::Body)
            stage = CallerStage::Sent;
    });
    if (stage != m_stage)
        enter(stage);
}

void CallerSession::Impl::chargePipeline()
{
    std::size_t headBytes = 0;
    std::size_t keptBytes = 0;
    forEachPipelined([&](const CurrentRequest& request) {
        headBytes += request.pipelined->headBytes;
        keptBytes += request.pipelined->keptBytes;
    });
    m_charge.hold(CallerMemory::Head, headBytes);
    m_charge.hold(CallerMemory::Kept, keptBytes);
}

} // namespace dogwoodhall
