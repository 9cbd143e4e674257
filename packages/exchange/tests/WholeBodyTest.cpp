#include "dogwoodhall/exchange/WholeBody.h"

#include "TableRows.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

namespace {

constexpr ByteCount limit { 40'000 };

ExchangeError brokenError() { return { ErrorKind::UpstreamTruncated, false, "cut" }; }

// A body whose read blocks until it is cancelled.
ExchangeResult<std::size_t> stalledBody(asio::mutable_buffer)
{
    asio::steady_timer never(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return tl::unexpected(brokenError());
}

ReadBody brokenBody()
{
    return [](asio::mutable_buffer) -> ExchangeResult<std::size_t> { co_return tl::unexpected(brokenError()); };
}

struct ReadResult {
    tl::expected<std::string, ExchangeError> body;
    std::size_t abandoned = 0;
};

asio::awaitable<void> read(IncomingResponse& response, Duration timeout, ReadResult& result)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    result.body = co_await readFullBody(response, limit, deadline);
}

ReadResult readResponse(ReadBody readBody, Duration timeout = std::chrono::minutes(1))
{
    ReadResult result;
    IncomingResponse response { {}, std::move(readBody), [&result] { ++result.abandoned; } };
    asio::io_context io;
    asio::co_spawn(io, read(response, timeout, result), asio::detached);
    io.run();
    return result;
}

} // namespace

struct BodyRow {
    std::size_t size; // Of the body.
    bool isComplete;
};

const BodyRow rows[] = { { 0, true }, { 1, true }, { 16 * 1024 + 1, true }, { 39'999, true }, { 40'000, true },
    { 40'001, false }, { 1'000'000, false } };

// Guards against a connection that is held open with the rest of an oversized response unread.
ParameterizedTestParameters(ReadWhole, abandonsOversizedResponses) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, ReadWhole, abandonsOversizedResponses)
{
    const auto& row = rows[*index];
    const auto result = readResponse(stringBody(std::string(row.size, 'b')));
    cr_assert_eq(result.body.has_value(), row.isComplete, "%zu bytes", row.size);
    cr_assert_eq(result.abandoned, row.isComplete ? 0 : 1, "%zu bytes", row.size);
    if (row.isComplete)
        cr_assert_eq(result.body->size(), row.size);
    else
        cr_assert_eq(result.body.error().kind, ErrorKind::BodyTooLarge);
}

// Guards against treating a broken response as an oversized or a complete one.
Test(ReadWhole, keepsErrorOfBrokenResponse)
{
    const auto result = readResponse(brokenBody());
    cr_assert_not(result.body);
    cr_assert_eq(result.body.error().kind, ErrorKind::UpstreamTruncated);
}

// Guards against waiting forever for a server that stops in the middle of its response.
Test(ReadWhole, abandonsLateResponse)
{
    const auto result = readResponse(stalledBody, std::chrono::milliseconds(20));
    cr_assert_not(result.body);
    cr_assert_eq(result.body.error().kind, ErrorKind::DeadlineExceeded);
    cr_assert_eq(result.abandoned, 1);
}
