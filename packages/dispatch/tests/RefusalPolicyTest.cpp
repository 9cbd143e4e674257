#include "TableRows.h"

#include "dogwoodhall/dispatch/RefusalPolicy.h"

using namespace dogwoodhall;
using namespace std::chrono_literals;

struct RefusalRow {
    const char* name;
    Duration goalLeft;
    Duration timeLeft;
    bool hasRetryAfter; // A retry time is stated.
    Duration latest;
};

const RefusalRow rows[] = {
    { "first attempt", 250ms, 1200ms, true, 123ms },
    { "too little time left to the goal", 110ms, 1000ms, true, 300ms },
    { "the goal has passed", -200ms, 900ms, true, 300ms },
    { "retry time limited to a third of the remaining time", 250ms, 240ms, true, 80ms },
    { "too little time left for a retry", 20ms, 60ms, false, {} },
};

// Guards against retries too late to be served in time, and against all refused callers retrying at once.
ParameterizedTestParameters(RefusalPolicy, spreadsRetryAfter) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, RefusalPolicy, spreadsRetryAfter)
{
    const auto& row = rows[*index];
    RandomEngine random(1);
    Duration least = Duration::max(), most {};
    for (int n = 0; n < 200; ++n) {
        const auto wait = jitterWithinGoal({ row.goalLeft, row.timeLeft, 80ms }, random);
        cr_assert_eq(wait.has_value(), row.hasRetryAfter, "%s", row.name);
        if (!wait)
            return;
        least = std::min(least, *wait);
        most = std::max(most, *wait);
    }
    cr_expect(most <= row.latest, "%s: %f ms", row.name, toMilliseconds(most));
    cr_expect(most > row.latest * 3 / 4 && least < row.latest / 2, "%s: retry times not spread", row.name);
}
