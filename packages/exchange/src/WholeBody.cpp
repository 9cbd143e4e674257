#include "dogwoodhall/exchange/WholeBody.h"

#include "dogwoodhall/exchange/UseTuple.h"

#include <algorithm>
#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstring>
#include <utility>
#include <variant>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

tl::unexpected<ExchangeError> deadlineError()
{
    return tl::unexpected(ExchangeError { ErrorKind::DeadlineExceeded, false, "answer not whole in time" });
}

} // namespace

ExchangeResult<std::string> readFullBody(const ReadBody& readBody, ByteCount limit)
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

ExchangeResult<std::string> readFullBody(
    IncomingResponse& response, ByteCount limit, std::chrono::steady_clock::time_point deadline)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
    auto ended = co_await (readFullBody(response.readBody, limit) || timer.async_wait(useTuple));
    tl::expected<std::string, ExchangeError> body = deadlineError();
    if (auto* read = std::get_if<0>(&ended))
        body = std::move(*read);
    if (!body)
        response.abandon();
    co_return body;
}

asio::awaitable<void> writeFullResponse(const ResponseWriter& writer, const ResponseHead& head, const std::string& body)
{
    ResponseHead sized = head;
    sized.bodyLength = { BodyLength::Kind::Exact, ByteCount(body.size()) };
    if (!co_await writer.writeHead(sized))
        co_return;
    if (!co_await writer.writeBody(asio::buffer(body)))
        co_return;
    co_await writer.finish();
}

ReadBody stringBody(std::string body)
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
