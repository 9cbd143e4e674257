#include "dogwoodhall/pool/DispatchAllowance.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;
using std::chrono::microseconds;

struct AllowanceRow {
    const char* guards;
    unsigned slots;
    microseconds roundTrip; // Of every probe but the first, which takes 50 ms.
    microseconds held;
    unsigned outstanding; // When the answers arrive.
    unsigned expected;
};

const AllowanceRow rows[] = {
    { "an allowance before anything was measured", 3, microseconds(0), microseconds(0), 1, 1 },
    { "a request that waits at the endpoint for nothing", 3, microseconds(200), microseconds(5200), 3, 1 },
    { "idle slots where a round trip is a fifth of the service time", 3, microseconds(200), microseconds(1200), 3, 2 },
    { "idle slots where more slots end in a round trip", 16, microseconds(200), microseconds(1200), 16, 6 },
    { "waiting at the endpoint taken for service", 3, microseconds(200), microseconds(1867), 5, 2 },
    { "an endless queue at endpoints whose probes are slow", 3, microseconds(90'000), microseconds(1200), 3, 8 },
};

// Guards against slots that stand idle at short service times, and against requests that are sent too early.
ParameterizedTestParameters(DispatchAllowance, hidesTheRoundTrip) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, DispatchAllowance, hidesTheRoundTrip)
{
    const auto& row = rows[*index];
    AllowanceLimits limits;
    limits.most = SlotCount(8);
    DispatchAllowance allowance;
    if (row.roundTrip.count() > 0) {
        allowance.observeRoundTrip(std::chrono::milliseconds(50));
        allowance.observeRoundTrip(row.roundTrip);
    }
    const SlotCount slots(row.slots);
    for (int n = 0; n < 100 && row.held.count() > 0; ++n)
        allowance.observeAnswer(row.held, slots, SlotCount(row.outstanding));
    cr_assert_eq(allowance.forEndpoint(slots, limits).count(), row.expected, "%s: %zu", row.guards,
        static_cast<std::size_t>(allowance.forEndpoint(slots, limits).count()));
}
