#include "dogwoodhall/daemon/BufferedAnswer.h"

#include "TableRows.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

namespace {

constexpr ByteCount limit { 40'000 };

ReadBody brokenBody()
{
    return [](asio::mutable_buffer) -> ExchangeResult<std::size_t> {
        co_return tl::unexpected(ExchangeError { ErrorKind::UpstreamTruncated, false, "cut" });
    };
}

struct ReadOutcome {
    tl::expected<std::string, ExchangeError> body;
    std::size_t abandoned = 0;
};

asio::awaitable<void> read(IncomingResponse& response, ReadOutcome& outcome)
{
    outcome.body = co_await readWhole(response, limit);
}

ReadOutcome readAnswer(ReadBody readBody)
{
    ReadOutcome outcome;
    IncomingResponse response { {}, std::move(readBody), [&outcome] { ++outcome.abandoned; } };
    asio::io_context io;
    asio::co_spawn(io, read(response, outcome), asio::detached);
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
