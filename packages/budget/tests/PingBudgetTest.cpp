#include "dogwoodhall/budget/PingBudget.h"

#include "TableRows.h"

#include <deque>

using namespace dogwoodhall;
using namespace std::chrono_literals;

struct ShareRow {
    std::uint64_t callsPerSecond;
    std::uint64_t bytesPerSecond;
    std::uint32_t trafficThreads;
    std::uint64_t pingsPerSecond; // Per thread.
};

const ShareRow rows[] = {
    { 50, 14'000, 2, 5 }, // The defaults.
    { 50, 14'000, 5, 2 },
    { 50, 14'000, 6, 0 },
    { 20, 1'000'000, 2, 2 },
    { 19, 1'000'000, 2, 0 },
    { 1, 14'000, 1, 0 },
    { 1000, 4'000, 2, 11 }, // The byte limit applies.
    { 1000, 1'000, 64, 0 },
    { 1'000'000, 100'000'000, 64, 3'125 },
};

// Guards against threads that together exceed the configured budget in any window of one second.
ParameterizedTestParameters(PingBudget, sharesOneBudget) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, PingBudget, sharesOneBudget)
{
    const ShareRow& row = rows[*index];
    const auto shares
        = splitMeasuringLimits({ CallCount(row.callsPerSecond), ByteCount(row.bytesPerSecond) }, row.trafficThreads);
    cr_assert_eq(shares.pingsPerSecond, CallCount(row.pingsPerSecond));
    const auto pings = row.pingsPerSecond * row.trafficThreads;
    cr_assert_eq(shares.control.callsPerSecond.count() + pings, row.callsPerSecond);
    cr_assert_eq(shares.control.bytesPerSecond.count() + pings * PingBudget::pingBytes.count(), row.bytesPerSecond);
    PingBudget budget(shares.pingsPerSecond);
    std::deque<TimePoint> window;
    std::size_t sent = 0;
    for (TimePoint now(1s); now < TimePoint(6s); now = now + 1ms) {
        for (; budget.trySpend(now); ++sent)
            window.push_back(now);
        for (; !window.empty() && now - window.front() > 1s; window.pop_front()) { }
        cr_assert_leq(window.size(), row.pingsPerSecond);
    }
    cr_assert(sent >= row.pingsPerSecond, "fewer PINGs sent than the share allows");
}
