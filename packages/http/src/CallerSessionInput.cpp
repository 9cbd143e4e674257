#include "CallerSessionImpl.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>

namespace dogwoodhall {

namespace {

// Of a connection with its session and coroutine frames, without the read buffer.
constexpr std::size_t connectionBytes = 10 * 1024;
// Of a header field, beside its text: in the parser, as copied for the handler and for the upstream.
constexpr std::size_t fieldBytes = 400;
// How often the text of a head is held.
constexpr std::size_t headCopies = 3;
// Requests sent ahead are not read while more of the answers before them is unread.
constexpr int maxUnreadAnswerBytes = 64 * 1024;
constexpr auto unreadAnswerPause = std::chrono::milliseconds(50);

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

} // namespace

ErrorKind CallerSession::Impl::rejectionFor(beast::error_code ec) const
{
    const auto kind = errorKindFor(ec);
    const bool exceedsLimit = kind == ErrorKind::HeadersTooLarge || kind == ErrorKind::BodyTooLarge;
    return exceedsLimit && m_current->retryAfter ? ErrorKind::NotReady : kind;
}

asio::awaitable<beast::error_code> CallerSession::Impl::waitForFirstByte()
{
    chargeConnection();
    if (m_buffer.size() > 0) {
        const bool hasRoom = co_await awaitRoomForAnswers();
        co_return hasRoom ? beast::error_code {} : beast::error_code(asio::error::eof);
    }
    beast::error_code available;
    if (m_isEvicted && m_stream.socket().available(available) == 0)
        co_return asio::error::eof;
    m_idleSince = std::chrono::steady_clock::now();
    armReadTimer(m_limits.idleTimeout);
    const auto ec = co_await readMore();
    m_idleSince.reset();
    co_return ec == beast::error::timeout ? asio::error::eof : ec;
}

// A request is bound by the limits in force at its first byte. Limits that become certain later may be others.
void CallerSession::Impl::applyLimits()
{
    if (m_hooks.retryIfUncertain)
        m_current->retryAfter = m_hooks.retryIfUncertain();
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
    enter(CallerStage::Head);
    applyLimits();
    armReadTimer(m_limits.headerTimeout);
    if (auto ec = co_await skipEmptyLines())
        co_return ec;
    auto& parser = *m_current->parser;
    const std::size_t headBytes = m_limits.headerBytes.count();
    std::size_t bytesLeft = headBytes;
    std::size_t parsedLines = 0;
    while (true) {
        if (!hasValidLineEndings(unparsedHead()))
            co_return http::error::bad_line_ending;
        const std::size_t lines = parsedLines + lineCount(unparsedHead());
        if (lines > m_limits.headerFields + 1)
            co_return http::error::header_limit;
        chargeHead(headBytes - bytesLeft + unparsedHead().size(), lines);
        if (m_isEvicted)
            co_return beast::error::timeout;
        if (auto ec = parseHead(parser, m_buffer, bytesLeft); ec && ec != http::error::need_more)
            co_return ec;
        if (parser.is_header_done())
            break;
        parsedLines = lines - lineCount(unparsedHead());
        if (auto ec = co_await readMore())
            co_return ec;
    }
    disarmReadTimer();
    if (!isSupportedRequest(parser.get()) || !hasUnambiguousLength(parser.get()))
        co_return http::error::bad_field;
    co_return beast::error_code {};
}

void CallerSession::Impl::chargeConnection()
{
    const bool isCharged = m_chargedBuffer > 0 && m_chargedBuffer == m_buffer.capacity();
    if (isCharged)
        return;
    m_chargedBuffer = m_buffer.capacity();
    m_charge.hold(CallerMemory::Connection, connectionBytes + m_chargedBuffer);
}

void CallerSession::Impl::chargeHead(std::size_t bytes, std::size_t lines)
{
    chargeConnection();
    m_chargedHead = headCharge(bytes, lines);
    m_charge.hold(CallerMemory::Head, m_chargedHead);
}

std::size_t CallerSession::Impl::headCharge(std::size_t bytes, std::size_t lines)
{
    return headCopies * bytes + fieldBytes * lines;
}

bool CallerSession::Impl::hasRoomForAnswers()
{
    int unread = 0;
    const bool isKnown = ::ioctl(m_stream.socket().native_handle(), SIOCOUTQ, &unread) == 0;
    return !isKnown || unread <= maxUnreadAnswerBytes;
}

// A caller that sends requests ahead and does not read the answers would otherwise have all of them served.
asio::awaitable<bool> CallerSession::Impl::awaitRoomForAnswers()
{
    const auto until = std::chrono::steady_clock::now() + m_limits.idleTimeout;
    while (!hasRoomForAnswers()) {
        chargeUnread();
        if (m_isEvicted || m_isStopping || std::chrono::steady_clock::now() >= until)
            co_return false;
        m_readTimer.expires_after(unreadAnswerPause);
        co_await m_readTimer.async_wait(useTuple);
    }
    co_return true;
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

ExchangeResult<std::size_t> CallerSession::Impl::readBody(asio::mutable_buffer buf)
{
    auto& parser = *m_current->parser;
    if (parser.is_done())
        co_return std::size_t { 0 };
    if (std::exchange(m_current->expectsContinue, false)) {
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_stream, asio::buffer(interim), useTuple);
    }
    if (m_isEvicted)
        co_return tl::unexpected(ExchangeError { ErrorKind::CallerLimit, false, "no room for this connection" });
    std::size_t size = 0;
    // Also after a cancellation: an armed timer would cancel the response, and a wait that has not ended would let the
    // caller of a request in progress count as slow.
    struct Guard {
        Impl& session;
        const std::size_t& size;
        ~Guard()
        {
            session.disarmReadTimer();
            session.m_charge.endWait(size);
        }
    } guard { *this, size };
    m_charge.beginWait();
    while (size == 0 && !parser.is_done()) {
        parser.get().body().data = buf.data();
        parser.get().body().size = buf.size();
        parser.get().body().more = true;
        armReadTimer(m_limits.headerTimeout);
        auto [result, n] = co_await http::async_read_some(m_stream, m_buffer, parser, useTuple);
        const auto ec = m_timedOut ? beast::error_code(beast::error::timeout) : result;
        if (ec && ec != http::error::need_buffer) {
            m_current->keepAlive = false;
            const auto kind = m_isEvicted ? ErrorKind::CallerLimit : rejectionFor(ec);
            co_return tl::unexpected(ExchangeError { kind, false, ec.message() });
        }
        size = buf.size() - parser.get().body().size;
    }
    if (parser.is_done())
        m_bodyFinished.cancel();
    co_return size;
}

} // namespace dogwoodhall
