#include "dogwoodhall/fleet/FirstReadDelay.h"

#include "TableRows.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;
using namespace std::chrono_literals;

struct DelayRow {
    std::size_t hosts;
    bool isListKnown;
    std::chrono::milliseconds bound;
};

const DelayRow delays[] = {
    { 1, true, 0ms },
    { 17, true, 0ms },
    { 100, true, 0ms },
    { 497, true, 497ms },
    { 3000, true, 3000ms },
    { 12'000, true, 12'000ms },
    { 3000, false, 3000ms },
};

// Guards against members that start at once and together exceed the configuration service's read rate less the share
// for host-list reads, and against a needless delay in a small fleet.
ParameterizedTestParameters(FirstReadDelay, spreadsReads) { return rowIndices(delays); }

ParameterizedTest(std::size_t* index, FirstReadDelay, spreadsReads)
{
    const DelayRow& row = delays[*index];
    RandomEngine random(1);
    std::vector<Duration> reads;
    for (std::size_t n = 0; n < row.hosts; ++n)
        reads.push_back(drawFirstReadDelay(row.isListKnown ? std::optional(row.hosts) : std::nullopt, random));
    std::sort(reads.begin(), reads.end());
    cr_assert_leq(reads.back(), row.bound);
    cr_assert_geq(reads.back(), row.bound * 95 / 100);
    for (auto first = reads.begin(); first != reads.end(); ++first) {
        const auto end = std::lower_bound(first, reads.end(), *first + 1s);
        cr_assert_lt(end - first, 2000 - 500, "%zu reads within a second", static_cast<std::size_t>(end - first));
    }
}
