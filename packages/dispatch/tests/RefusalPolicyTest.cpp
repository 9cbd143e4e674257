#include "TableRows.h"

#include "dogwoodhall/dispatch/RefusalPolicy.h"

using namespace dogwoodhall;
using namespace std::chrono_literals;

struct RefusalRow {
    const char* name;
    Duration goalLeft;
    Duration timeLeft;
    bool isTold; // When to come back.
    Duration latest;
};

const RefusalRow rows[] = {
    { "first attempt", 250ms, 1200ms, true, 123ms },
    { "the goal is too near", 110ms, 1000ms, true, 300ms },
    { "the goal has passed", -200ms, 900ms, true, 300ms },
    { "callers heed a third of what they have left", 250ms, 240ms, true, 80ms },
    { "hardly any time left", 20ms, 60ms, false, {} },
};

// Guards against callers that come back too late to be served in time, and against a crest that returns as one.
ParameterizedTestParameters(RefusalPolicy, spreadsReturns) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, RefusalPolicy, spreadsReturns)
{
    const auto& row = rows[*index];
    RandomEngine random(1);
    Duration least = Duration::max(), most {};
    for (int n = 0; n < 200; ++n) {
        const auto wait = spreadWithinGoal({ row.goalLeft, row.timeLeft, 80ms }, random);
        cr_assert_eq(wait.has_value(), row.isTold, "%s", row.name);
        if (!wait)
            return;
        least = std::min(least, *wait);
        most = std::max(most, *wait);
    }
    cr_expect(most <= row.latest, "%s: %f ms", row.name, toMilliseconds(most));
    cr_expect(most > row.latest * 3 / 4 && least < row.latest / 2, "%s: not spread", row.name);
}
