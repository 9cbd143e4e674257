#include "dogwoodhall/telemetry/LogLimiter.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct LimiterRow {
    unsigned lines; // Number of identical lines in one period.
    unsigned written;
    unsigned suppressed; // Reported with the first line of the next period.
};

const LimiterRow rows[] = { { 1, 1, 0 }, { 5, 5, 0 }, { 6, 5, 1 }, { 1000, 5, 995 } };

// Guards against a fault flooding the log, and against suppressing lines without reporting their number.
ParameterizedTestParameters(LogLimiter, limitsRepeatedLines) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, LogLimiter, limitsRepeatedLines)
{
    const auto& row = rows[*index];
    LogLimiter limiter;
    unsigned written = 0;
    for (unsigned n = 0; n < row.lines; ++n)
        written += limiter.check("config: same line", TimePoint(std::chrono::milliseconds(n))).write ? 1 : 0;
    cr_assert_eq(written, row.written);
    cr_assert(limiter.check("config: other line", TimePoint(std::chrono::seconds(2))).write);
    const auto next = limiter.check("config: same line", TimePoint(LogLimiter::period + std::chrono::seconds(1)));
    cr_assert(next.write);
    cr_assert_eq(next.suppressed, row.suppressed);
}
