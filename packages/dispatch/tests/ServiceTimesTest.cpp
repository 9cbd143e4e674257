#include "TableRows.h"

#include "dogwoodhall/dispatch/ServiceTimes.h"

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

const RouteId route("lookups");
const ServiceId service("catalogue");
constexpr Duration goal = 300ms;

LoadReport load(std::uint64_t running, std::uint64_t slots, double slowdown = 1)
{
    return { SlotCount(running), SlotCount(0), SlotCount(slots), slowdown };
}

} // namespace

struct LastSlotRow {
    const char* name;
    std::uint64_t slots;
    double fullRatio; // Service time of a request that takes the last slot, relative to the others.
    std::uint64_t samples;
    std::uint64_t best;
};

const LastSlotRow lastSlotRows[] = {
    { "three slots, the last one slows all by 1.7", 3, 1.7, 40, 2 },
    { "three slots, the last one slows none", 3, 1.0, 40, 3 },
    { "four slots, the last one slows none", 4, 1.0, 40, 4 },
    { "four slots, the last one slows all by 1.2 but adds throughput", 4, 1.2, 40, 4 },
    { "four slots, the last one slows all by 1.7", 4, 1.7, 40, 3 },
    { "too few samples to judge", 3, 1.7, 3, 3 },
    { "one slot", 1, 1.7, 40, 1 },
};

// Guards against filling a last slot that reduces throughput, and against leaving one empty that does not.
ParameterizedTestParameters(ServiceTimes, findsBestConcurrency) { return rowIndices(lastSlotRows); }

ParameterizedTest(std::size_t* index, ServiceTimes, findsBestConcurrency)
{
    const auto& row = lastSlotRows[*index];
    ServiceTimes times;
    for (std::uint64_t n = 0; n < row.samples; ++n) {
        // Every 30th request takes seven times as long.
        const double tail = n % 30 == 29 ? 7 : 1;
        times.observe(route, service, load(0, row.slots), scaled(100ms, tail));
        times.observe(route, service, load(row.slots - 1, row.slots), scaled(100ms, row.fullRatio * tail));
    }
    cr_expect_eq(times.bestConcurrency(service, SlotCount(row.slots)).count(), row.best, "%s: %zu", row.name,
        static_cast<std::size_t>(times.bestConcurrency(service, SlotCount(row.slots)).count()));
}

struct ExpectedRow {
    const char* name;
    LoadReport load;
    double least; // Milliseconds.
    double most;
};

const ExpectedRow expectedRows[] = {
    { "idle", load(0, 3), 95, 105 },
    { "slowed by less than reported", load(0, 3, 5), 240, 260 },
    { "slowed below the threshold", load(0, 3, 1.2), 95, 105 },
    { "full, waits for a slot", load(3, 3), 125, 150 },
};

// Guards against estimates that ignore slowed hosts or queues.
ParameterizedTestParameters(ServiceTimes, expects) { return rowIndices(expectedRows); }

ParameterizedTest(std::size_t* index, ServiceTimes, expects)
{
    const auto& row = expectedRows[*index];
    ServiceTimes times;
    for (int n = 0; n < 30; ++n) {
        times.observe(route, service, load(0, 3), 100ms);
        times.observe(route, service, load(0, 3, 5), 250ms);
    }
    const double ms = toMilliseconds(times.expected(route, service, row.load, goal));
    cr_expect(ms >= row.least && ms <= row.most, "%s: %f ms", row.name, ms);
}

// Guards against an extreme estimate for a route without history.
Test(ServiceTimes, usesGoalWithoutHistory)
{
    const ServiceTimes times;
    const Duration expected = times.expected(route, service, load(0, 3), goal);
    cr_expect(expected > 50ms && expected < 150ms);
}
