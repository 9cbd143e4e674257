#include "dogwoodhall/request/HedgePolicy.h"

#include "TableRows.h"

#include "dogwoodhall/core/RandomEngine.h"

using namespace dogwoodhall;

struct HedgeRow {
    const char* name;
    int samples;
    double slowShare; // Of the samples; the rest take a tenth of the time.
    double leastShareAfter; // Share of later samples that may take longer than the delay.
    double mostShareAfter;
};

const HedgeRow rows[] = {
    { "no slow answers", 2000, 0, 0, 0.08 },
    { "few slow answers", 4000, 0.02, 0, 0.08 },
    { "many slow answers", 4000, 0.3, 0, 0.1 },
};

// Guards against hedges that double the load because the delay lies below most answers.
ParameterizedTestParameters(HedgePolicy, delaysAboveMostAnswers) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, HedgePolicy, delaysAboveMostAnswers)
{
    const auto& row = rows[*index];
    HedgePolicy policy;
    RandomEngine random(7);
    std::uniform_real_distribution<double> uniform(0, 1);
    const ServiceId service("catalogue");
    const auto draw = [&] {
        const double scale = uniform(random) < row.slowShare ? 1000 : 100;
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(scale * (0.5 + uniform(random))));
    };
    for (int n = 0; n < row.samples; ++n)
        policy.observe(service, draw());
    const auto delay = policy.delayFor(service);
    cr_assert(delay);
    int longer = 0;
    for (int n = 0; n < 2000; ++n)
        longer += draw() > *delay ? 1 : 0;
    cr_assert_leq(longer, row.mostShareAfter * 2000, "%s: %d", row.name, longer);
    cr_assert_geq(longer, row.leastShareAfter * 2000, "%s: %d", row.name, longer);
}

// Guards against hedging on the strength of a few samples.
Test(HedgePolicy, waitsForSamples)
{
    HedgePolicy policy;
    const ServiceId service("catalogue");
    for (unsigned n = 0; n + 1 < HedgeLimits {}.samplesToJudge; ++n)
        policy.observe(service, std::chrono::milliseconds(10));
    cr_assert_not(policy.delayFor(service));
    policy.observe(service, std::chrono::milliseconds(10));
    cr_assert(policy.delayFor(service));
}
