#include "dogwoodhall/budget/MeasuringBudget.h"

#include "TableRows.h"
#include "dogwoodhall/core/RandomEngine.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <deque>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

struct Charge {
    TimePoint at;
    std::uint64_t bytes;
};

// Messages of one category per second, and the size of each.
struct Demand {
    double perSecond;
    std::uint64_t bytes;
};

} // namespace

struct DemandRow {
    const char* name;
    Demand usual[measuringCategoryCount];
    double factor[measuringCategoryCount]; // From 5 s to 10 s.
    std::uint64_t rampMs; // Time in which the demand rises to the factor.
    MeasuringCategory lastServed; // This category and those with higher priority are never refused.
};

// The limits are 100 calls and 14,000 bytes per second.
const DemandRow demands[] = {
    { "ordinary load", { { 4, 300 }, { 2, 300 }, { 10, 100 }, { 20, 100 } }, { 1, 1, 1, 1 }, 0,
        MeasuringCategory::LoadMeasurement },
    { "threefold increase of load measurement within 100 ms", { { 4, 300 }, { 2, 300 }, { 10, 100 }, { 50, 100 } },
        { 1, 1, 1, 3 }, 100, MeasuringCategory::Health },
    { "threefold increase of all categories within 100 ms", { { 4, 300 }, { 2, 300 }, { 10, 100 }, { 50, 100 } },
        { 3, 3, 3, 3 }, 100, MeasuringCategory::Configuration },
    { "outage: frequent health probes at once", { { 4, 300 }, { 2, 300 }, { 10, 100 }, { 20, 100 } }, { 1, 1, 100, 3 },
        0, MeasuringCategory::Configuration },
    { "mass restart: all peers send claims and records", { { 4, 300 }, { 2, 300 }, { 10, 100 }, { 20, 100 } },
        { 4, 50, 10, 10 }, 0, MeasuringCategory::Membership },
};

// Guards against measuring that exceeds its budget in any window of one second, whatever the demand, and against
// membership messages that are starved by load measurement.
ParameterizedTestParameters(MeasuringBudget, holdsInEveryWindow) { return rowIndices(demands); }

ParameterizedTest(std::size_t* index, MeasuringBudget, holdsInEveryWindow)
{
    const DemandRow& row = demands[*index];
    MeasuringBudget budget({ CallCount(100), ByteCount(14'000) });
    RandomEngine random(1);
    std::deque<Charge> window;
    std::uint64_t windowBytes = 0;
    for (TimePoint now(1s); now < TimePoint(16s); now = now + 1ms) {
        const bool isIncreased = now >= TimePoint(6s) && now < TimePoint(11s);
        const auto sinceIncrease = static_cast<double>((now - TimePoint(6s)).count()) / 1e6;
        const double ramp
            = !isIncreased ? 0 : std::min(1.0, row.rampMs ? sinceIncrease / static_cast<double>(row.rampMs) : 1);
        for (std::size_t n = 0; n < measuringCategoryCount; ++n) {
            const double perMs = row.usual[n].perSecond * (1 + ramp * (row.factor[n] - 1)) / 1000;
            std::poisson_distribution<int> arrivals(perMs);
            for (int count = arrivals(random); count > 0; --count) {
                const auto category = static_cast<MeasuringCategory>(n);
                const bool hasRoom = budget.hasRoom(category, ByteCount(row.usual[n].bytes), now);
                const bool isSpent = budget.trySpend(category, ByteCount(row.usual[n].bytes), now);
                cr_assert_eq(hasRoom, isSpent, "%s: hasRoom and trySpend disagree", row.name);
                if (!isSpent)
                    continue;
                window.push_back({ now, row.usual[n].bytes });
                windowBytes += row.usual[n].bytes;
            }
        }
        for (; !window.empty() && now - window.front().at > 1s; window.pop_front())
            windowBytes -= window.front().bytes;
        cr_assert_leq(window.size(), 100, "%s", row.name);
        cr_assert_leq(windowBytes, 14'000, "%s", row.name);
    }
    for (std::size_t n = 0; n < measuringCategoryCount; ++n) {
        const auto& counters = budget.counters(static_cast<MeasuringCategory>(n));
        cr_assert_gt(counters.spentCalls.count(), 0);
        const bool isRefused = counters.refusedCalls.count() > 0;
        cr_assert_eq(isRefused, n > static_cast<std::size_t>(row.lastServed), "%s: category %zu refused %zu", row.name,
            n, static_cast<std::size_t>(counters.refusedCalls.count()));
    }
}

struct SizeRow {
    std::uint64_t callsPerSecond;
    std::uint64_t bytesPerSecond;
    MeasuringCategory category;
    std::uint64_t bytes;
    bool isSpent;
};

const SizeRow sizes[] = {
    { 4, 14'000, MeasuringCategory::LoadMeasurement, 100, true }, // A capacity of one call serves every category.
    { 0, 14'000, MeasuringCategory::Membership, 100, false },
    { 4, 0, MeasuringCategory::Membership, 1, false },
    { 4, 14'000, MeasuringCategory::Membership, 3500, true },
    { 4, 14'000, MeasuringCategory::Membership, 3501, false },
    { 4, 14'000, MeasuringCategory::LoadMeasurement, 1751, true },
    { 4, 14'000, MeasuringCategory::LoadMeasurement, 1752, false },
};

// Guards against rounding that lifts the limit of a category or blocks it entirely.
ParameterizedTestParameters(MeasuringBudget, boundsOneMessage) { return rowIndices(sizes); }

ParameterizedTest(std::size_t* index, MeasuringBudget, boundsOneMessage)
{
    const SizeRow& row = sizes[*index];
    MeasuringBudget budget({ CallCount(row.callsPerSecond), ByteCount(row.bytesPerSecond) });
    cr_assert_eq(budget.trySpend(row.category, ByteCount(row.bytes), TimePoint(1s)), row.isSpent);
    cr_assert_eq(ByteCount(row.bytes) <= budget.largestMessage(row.category), row.isSpent || row.callsPerSecond == 0);
    const auto& counters = budget.counters(row.category);
    cr_assert_eq(counters.spentBytes.count(), row.isSpent ? row.bytes : 0);
    cr_assert_eq(counters.refusedBytes.count(), row.isSpent ? 0 : row.bytes);
}

struct BucketRow {
    std::uint64_t perSecond;
    std::uint64_t capacity;
    std::uint64_t taken; // From the full bucket, at 1 s.
    std::chrono::nanoseconds elapsed;
    std::uint64_t available;
};

const BucketRow buckets[] = {
    { 10, 5, 5, 0ns, 0 },
    { 10, 5, 5, 99'999'999ns, 0 },
    { 10, 5, 5, 100'000'000ns, 1 },
    { 3, 5, 5, 333'333'333ns, 0 }, // Rounding never gives a token early.
    { 3, 5, 5, 333'333'334ns, 1 },
    { 10, 5, 2, -500'000'000ns, 3 }, // A clock that goes backwards refills nothing.
    { 10, 5, 5, 24h, 5 },
    { 1'000'000'000, 1'000'000'000, 1'000'000'000, 87600h, 1'000'000'000 },
    { 0, 5, 2, 24h, 3 },
};

// Guards against a bucket that refills too early, beyond its capacity, or wrongly after a long pause.
ParameterizedTestParameters(TokenBucket, refills) { return rowIndices(buckets); }

ParameterizedTest(std::size_t* index, TokenBucket, refills)
{
    const BucketRow& row = buckets[*index];
    TokenBucket<ByteCount> bucket(ByteCount(row.perSecond), ByteCount(row.capacity));
    cr_assert(bucket.tryTake(ByteCount(row.taken), TimePoint(1s)));
    const TimePoint later = TimePoint(1s) + row.elapsed;
    cr_assert_eq(bucket.available(later).count(), row.available);
    cr_assert_not(bucket.tryTake(ByteCount(row.available + 1), later));
    cr_assert_not(row.available > 0 && bucket.tryTake(ByteCount(row.available), later, ByteCount(1)));
    cr_assert(bucket.tryTake(ByteCount(row.available), later));
}
