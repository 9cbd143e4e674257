#include "dogwoodhall/pool/PlacementPolicy.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct PolicyRow {
    const char* guardsAgainst;
    PlacementPolicy (*policy)();
    unsigned inUse[3];
    unsigned reported[3];
    double weight[3];
    double minShare[3]; // Bounds of the share of 3,000 draws.
    double maxShare[3];
};

const PolicyRow rows[] = {
    { "a random policy that favours one endpoint", randomEndpoint, { 9, 0, 0 }, { 9, 0, 0 }, { 1, 1, 1 },
        { 0.3, 0.3, 0.3 }, { 0.37, 0.37, 0.37 } },
    { "a random policy that ignores weights", randomEndpoint, { 0, 0, 0 }, { 0, 0, 0 }, { 1, 0.5, 0.5 },
        { 0.46, 0.21, 0.21 }, { 0.54, 0.29, 0.29 } },
    { "two choices by reported load that use own requests", twoChoicesByReportedLoad, { 0, 9, 9 }, { 2, 1, 0 },
        { 1, 1, 1 }, { 0, 0.29, 0.62 }, { 0, 0.38, 0.71 } },
    { "two choices by own requests that use reported load", twoChoicesByOwnRequests, { 0, 1, 2 }, { 9, 0, 0 },
        { 1, 1, 1 }, { 0.62, 0.29, 0 }, { 0.71, 0.38, 0 } },
    { "a least-loaded policy that chooses at random", leastLoaded, { 1, 0, 1 }, { 0, 9, 0 }, { 1, 1, 1 }, { 0, 1, 0 },
        { 0, 1, 0 } },
    { "ties always resolved in favour of the first", leastLoaded, { 0, 0, 0 }, { 0, 0, 0 }, { 1, 1, 1 },
        { 0.3, 0.3, 0.3 }, { 0.37, 0.37, 0.37 } },
    { "an equal share for a slow endpoint", leastLoaded, { 0, 1, 1 }, { 0, 0, 0 }, { 0.1, 1, 1 }, { 0, 0.46, 0.46 },
        { 0, 0.54, 0.54 } },
};

ParameterizedTestParameters(PlacementPolicy, drawsInProportion) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, PlacementPolicy, drawsInProportion)
{
    const PolicyRow& row = rows[*index];
    std::vector<EndpointCandidate> candidates;
    for (std::size_t n = 0; n < 3; ++n)
        candidates.push_back({ EndpointId(std::to_string(n)), SlotCount(3), SlotCount(row.inUse[n]),
            SlotCount(row.reported[n]), row.weight[n] });
    RandomEngine random(7);
    const auto policy = row.policy();
    double counts[3] = {};
    constexpr int draws = 3000;
    for (int n = 0; n < draws; ++n)
        counts[*policy(candidates, WorkClass::Short, { TimePoint(), random })] += 1;
    for (std::size_t n = 0; n < 3; ++n) {
        const double share = counts[n] / draws;
        cr_assert(share >= row.minShare[n] && share <= row.maxShare[n], "guards against %s: %zu got %f",
            row.guardsAgainst, n, share);
    }
    cr_assert_not(policy({}, WorkClass::Short, { TimePoint(), random }));
}
