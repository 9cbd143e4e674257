#include "CallerSessionImpl.h"

#include "BeastHeads.h"

#include <algorithm>

namespace dogwoodhall {

ResponseWriter CallerSession::Impl::writer(CurrentRequest& current)
{
    return { [this, &current](const ResponseHead& head) { return writeHead(current, head); },
        [this, &current](asio::const_buffer buf) { return writeBody(current, buf); },
        [this, &current] { return finish(current); } };
}

ExchangeResult<void> CallerSession::Impl::writeHead(CurrentRequest& current, const ResponseHead& head)
{
    if (current.pipelined)
        current.pipelined->hasAnswer = true;
    if (current.pipelined && !m_pipeline.isTurn(current.pipelined->number)) {
        const bool isTurn = co_await awaitTurn(current);
        if (!isTurn)
            co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, "the connection closes" });
    }
    if (current.isEnded)
        co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, "the request was ended" });
    auto& response = current.response.emplace();
    response.version(11);
    response.result(head.status);
    toBeast(head.fields, response);
    const bool mayStayOpen = current.pipelined ? m_pipeline.beginAnswer(current.pipelined->number)
                                               : !m_isStopping && !m_closesAfterNextResponse;
    current.keepAlive = current.keepAlive && current.parser->is_done() && mayStayOpen;
    response.keep_alive(current.keepAlive);
    if (head.bodyLength.kind == BodyLength::Kind::Streamed)
        response.chunked(true);
    else if (!current.isHead && head.status >= 200 && head.status != 204 && head.status != 304)
        response.content_length(head.bodyLength.bytes.count());
    if (head.bodyLength.kind != BodyLength::Kind::Streamed)
        current.bytesLeft = current.isHead ? 0 : head.bodyLength.bytes.count();
    response.body().data = nullptr;
    response.body().more = true;
    current.serializer.emplace(response);
    if (current.pipelined)
        current.pipelined->stage = CallerStage::Answer;
    m_isAnswerWhole = false;
    enter(CallerStage::Answer);
    m_charge.beginWait();
    auto [ec, n] = co_await http::async_write_header(m_stream, *current.serializer, useTuple);
    m_charge.endWait(n);
    if (ec)
        co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, ec.message() });
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> CallerSession::Impl::writeBody(CurrentRequest& current, asio::const_buffer buf)
{
    if (current.isHead || buf.size() == 0)
        co_return tl::expected<void, ExchangeError> {};
    if (auto& left = current.bytesLeft)
        *left -= std::min<std::uint64_t>(*left, buf.size());
    auto& body = current.response->body();
    body.data = const_cast<void*>(buf.data());
    body.size = buf.size();
    body.more = true;
    m_charge.beginWait();
    auto [ec, n] = co_await http::async_write(m_stream, *current.serializer, useTuple);
    m_charge.endWait(n);
    if (ec && ec != http::error::need_buffer)
        co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, ec.message() });
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> CallerSession::Impl::finish(CurrentRequest& current)
{
    auto& body = current.response->body();
    body.data = nullptr;
    body.size = 0;
    body.more = false;
    if (!current.isHead && !current.serializer->is_done()) {
        m_charge.beginWait();
        auto [ec, n] = co_await http::async_write(m_stream, *current.serializer, useTuple);
        m_charge.endWait(n);
        if (ec)
            co_return tl::unexpected(ExchangeError { ErrorKind::Cancelled, false, ec.message() });
    }
    current.isResponseComplete = true;
    m_isAnswerWhole = true;
    m_charge.answered();
    co_return tl::expected<void, ExchangeError> {};
}

} // namespace dogwoodhall
