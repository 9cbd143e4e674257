#include "dogwoodhall/daemon/BufferedAnswer.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstring>
#include <utility>
#include <variant>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

tl::unexpected<ExchangeError> tooLate()
{
    return tl::unexpected(ExchangeError { ErrorKind::DeadlineExceeded, false, "answer not whole in time" });
}

} // namespace

BufferedAnswer::BufferedAnswer(ByteCount limit)
    : m_limit(limit)
{
}

ResponseWriter BufferedAnswer::writer()
{
    return { [this](const ResponseHead& head) { return writeHead(head); },
        [this](asio::const_buffer buf) { return writeBody(buf); }, [this] { return finish(); } };
}

ExchangeResult<void> BufferedAnswer::writeHead(const ResponseHead& head)
{
    m_answer.status = head.status;
    for (const auto& field : head.fields)
        m_answer.fields.emplace_back(field.name, field.value);
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> BufferedAnswer::writeBody(asio::const_buffer buf)
{
    if (m_answer.body.size() + buf.size() > m_limit.count())
        co_return tl::unexpected(ExchangeError { ErrorKind::UpstreamTruncated, false, "answer too large to keep" });
    m_answer.body.append(static_cast<const char*>(buf.data()), buf.size());
    co_return tl::expected<void, ExchangeError> {};
}

ExchangeResult<void> BufferedAnswer::finish()
{
    m_whole = std::move(m_answer);
    co_return tl::expected<void, ExchangeError> {};
}

asio::awaitable<void> writeStored(const ResponseWriter& writer, const StoredAnswer& answer)
{
    ResponseHead head;
    head.status = answer.status;
    for (const auto& [name, value] : answer.fields)
        head.fields.add(name, value);
    head.bodyLength = { BodyLength::Kind::Exact, ByteCount(answer.body.size()) };
    if (!co_await writer.writeHead(head))
        co_return;
    if (!co_await writer.writeBody(asio::buffer(answer.body)))
        co_return;
    co_await writer.finish();
}

ExchangeResult<std::string> readWhole(const ReadBody& readBody, ByteCount limit)
{
    std::string body;
    std::array<char, 16 * 1024> buf;
    while (true) {
        auto n = co_await readBody(asio::buffer(buf));
        if (!n)
            co_return tl::unexpected(n.error());
        if (*n == 0)
            co_return body;
        if (body.size() + *n > limit.count())
            co_return tl::unexpected(ExchangeError { ErrorKind::BodyTooLarge, true, "body too large" });
        body.append(buf.data(), *n);
    }
}

ExchangeResult<std::string> readWhole(
    IncomingResponse& response, ByteCount limit, std::chrono::steady_clock::time_point deadline)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
    auto ended = co_await (readWhole(response.readBody, limit) || timer.async_wait(useTuple));
    tl::expected<std::string, ExchangeError> body = tooLate();
    if (auto* read = std::get_if<0>(&ended))
        body = std::move(*read);
    if (!body)
        response.abandon();
    co_return body;
}

ReadBody bodyFrom(std::string body)
{
    return [body = std::move(body), position = std::size_t { 0 }](
               asio::mutable_buffer buf) mutable -> ExchangeResult<std::size_t> {
        const std::size_t n = std::min(buf.size(), body.size() - position);
        if (n > 0)
            std::memcpy(buf.data(), body.data() + position, n);
        position += n;
        co_return n;
    };
}

} // namespace dogwoodhall
