#include "dogwoodhall/pool/DispatchAllowance.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;
using std::chrono::microseconds;

struct AllowanceRow {
    const char* guardsAgainst;
    unsigned slots;
    microseconds roundTrip; // Of every probe except the first, which takes 50 ms.
    microseconds held;
    unsigned outstanding; // When the responses arrive.
    unsigned expected;
};

const AllowanceRow rows[] = {
    { "an allowance above the minimum before any measurement", 3, microseconds(0), microseconds(0), 1, 1 },
    { "needless queueing at the endpoint", 3, microseconds(200), microseconds(5200), 3, 1 },
    { "idle slots if a round trip is a fifth of the service time", 3, microseconds(200), microseconds(1200), 3, 2 },
    { "idle slots if more requests complete per round trip", 16, microseconds(200), microseconds(1200), 16, 6 },
    { "queueing at the endpoint counted as service time", 3, microseconds(200), microseconds(1867), 5, 2 },
    { "an unbounded queue at endpoints with slow probes", 3, microseconds(90'000), microseconds(1200), 3, 8 },
};

// Guards against idle slots at short service times, and against dispatching requests too early.
ParameterizedTestParameters(DispatchAllowance, coversRoundTrip) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, DispatchAllowance, coversRoundTrip)
{
    const auto& row = rows[*index];
    AllowanceLimits limits;
    limits.maxRequests = SlotCount(8);
    DispatchAllowance allowance;
    if (row.roundTrip.count() > 0) {
        allowance.observeRoundTrip(std::chrono::milliseconds(50));
        allowance.observeRoundTrip(row.roundTrip);
    }
    const SlotCount slots(row.slots);
    for (int n = 0; n < 100 && row.held.count() > 0; ++n)
        allowance.observeAnswer(row.held, slots, SlotCount(row.outstanding));
    cr_assert_eq(allowance.forEndpoint(slots, limits).count(), row.expected, "%s: %zu", row.guardsAgainst,
        static_cast<std::size_t>(allowance.forEndpoint(slots, limits).count()));
}
