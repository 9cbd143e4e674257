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

// A body that does not arrive until its read is cancelled.
ExchangeResult<std::size_t> stall(asio::mutable_buffer)
{
    asio::steady_timer never(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return tl::unexpected(brokenError());
}

ReadBody brokenBody()
{
    return [](asio::mutable_buffer) -> ExchangeResult<std::size_t> { co_return tl::unexpected(brokenError()); };
}

struct ReadOutcome {
    tl::expected<std::string, ExchangeError> body;
    std::size_t abandoned = 0;
};

asio::awaitable<void> read(IncomingResponse& response, Duration allowed, ReadOutcome& outcome)
{
    const auto deadline = std::chrono::steady_clock::now() + allowed;
    outcome.body = co_await readWhole(response, limit, deadline);
}

ReadOutcome readAnswer(ReadBody readBody, Duration allowed = std::chrono::minutes(1))
{
    ReadOutcome outcome;
    IncomingResponse response { {}, std::move(readBody), [&outcome] { ++outcome.abandoned; } };
    asio::io_context io;
    asio::co_spawn(io, read(response, allowed, outcome), asio::detached);
    io.run();
    return outcome;
}

} // namespace

struct AnswerRow {
    std::size_t size; // Of the body.
    bool isWhole;
};

const AnswerRow rows[] = { { 0, true }, { 1, true }, { 16 * 1024 + 1, true }, { 39'999, true }, { 40'000, true },
    { 40'001, false }, { 1'000'000, false } };

// Guards against a connection that stays open, with the rest of an oversized answer unread.
ParameterizedTestParameters(ReadWhole, abandonsOversizedAnswers) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, ReadWhole, abandonsOversizedAnswers)
{
    const auto& row = rows[*index];
    const auto outcome = readAnswer(bodyFrom(std::string(row.size, 'b')));
    cr_assert_eq(outcome.body.has_value(), row.isWhole, "%zu bytes", row.size);
    cr_assert_eq(outcome.abandoned, row.isWhole ? 0 : 1, "%zu bytes", row.size);
    if (row.isWhole)
        cr_assert_eq(outcome.body->size(), row.size);
    else
        cr_assert_eq(outcome.body.error().kind, ErrorKind::BodyTooLarge);
}

// Guards against a broken answer that is taken for an oversized or a whole one.
Test(ReadWhole, keepsTheErrorOfABrokenAnswer)
{
    const auto outcome = readAnswer(brokenBody());
    cr_assert_not(outcome.body);
    cr_assert_eq(outcome.body.error().kind, ErrorKind::UpstreamTruncated);
}

// Guards against a reader that waits for ever for a server that stops in the middle of its answer.
Test(ReadWhole, abandonsALateAnswer)
{
    const auto outcome = readAnswer(stall, std::chrono::milliseconds(20));
    cr_assert_not(outcome.body);
    cr_assert_eq(outcome.body.error().kind, ErrorKind::DeadlineExceeded);
    cr_assert_eq(outcome.abandoned, 1);
}
