#include "dogwoodhall/budget/LinkBudget.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct LinkRow {
    const char* guardsAgainst;
    struct {
        unsigned atMs;
        unsigned bytes;
        bool isTaken;
    } takes[4]; // From a bucket with a rate of 1,000 bytes per second and a capacity of 500.
};

const LinkRow rows[] = {
    { "more than the bucket at once", { { 0, 400, true }, { 0, 200, false }, { 0, 100, true }, { 0, 1, false } } },
    { "a bucket that does not refill",
        { { 0, 500, true }, { 50, 100, false }, { 100, 100, true }, { 300, 200, true } } },
    { "unused bytes that accumulate without limit",
        { { 0, 500, true }, { 9000, 500, true }, { 9000, 1, false }, { 9000, 1, false } } },
    { "a large request that never passes",
        { { 0, 900, true }, { 300, 1, false }, { 450, 50, true }, { 450, 1, false } } },
    { "bytes gained when time goes backwards",
        { { 300, 500, true }, { 100, 1, false }, { 400, 100, true }, { 300, 1, false } } },
};

ParameterizedTestParameters(LinkBudget, takes) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, LinkBudget, takes)
{
    const LinkRow& row = rows[*index];
    LinkBudget budget(ByteCount(1000), std::chrono::milliseconds(500), TimePoint());
    for (const auto& take : row.takes) {
        const TimePoint now(std::chrono::milliseconds(take.atMs));
        cr_assert_eq(budget.tryTake(ByteCount(take.bytes), now), take.isTaken, "guards against %s: %u bytes at %u ms",
            row.guardsAgainst, take.bytes, take.atMs);
    }
}
