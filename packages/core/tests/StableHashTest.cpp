#include "dogwoodhall/core/Ids.h"

#include "TableRows.h"
#include <algorithm>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string>
#include <vector>

using namespace dogwoodhall;

struct DistributionRow {
    int buckets;
    int keys;
    double maxSkew; // Maximum size of the largest bucket relative to the mean.
};

const DistributionRow rows[] = { { 3, 3000, 1.15 }, { 17, 17000, 1.2 }, { 100, 100000, 1.2 } };

// Guards against a hash that assigns most pools to one member.
ParameterizedTestParameters(StableHash, distributesShortKeysEvenly) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, StableHash, distributesShortKeysEvenly)
{
    const DistributionRow& row = rows[*index];
    std::vector<int> counts(row.buckets);
    for (int n = 0; n < row.keys; ++n)
        ++counts[stableHash("service-" + std::to_string(n)) % row.buckets];
    const int largest = *std::max_element(counts.begin(), counts.end());
    cr_assert_lt(largest, row.maxSkew * row.keys / row.buckets);
}
