#include "dogwoodhall/request/HedgePolicy.h"

#include "TableRows.h"

#include "dogwoodhall/core/RandomEngine.h"

using namespace dogwoodhall;

struct HedgeRow {
    const char* name;
    int samples;
    double slowShare; // Share of slow samples; the others take a tenth of the time.
    double minShareAfter; // Bounds of the share of later samples that exceed the delay.
    double maxShareAfter;
};

const HedgeRow rows[] = {
    { "no slow responses", 2000, 0, 0, 0.08 },
    { "few slow responses", 4000, 0.02, 0, 0.08 },
    { "many slow responses", 4000, 0.3, 0, 0.1 },
};

// Guards against hedges that double the load because the delay is below most response times.
ParameterizedTestParameters(HedgePolicy, delayExceedsMostResponses) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, HedgePolicy, delayExceedsMostResponses)
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
    cr_assert_leq(longer, row.maxShareAfter * 2000, "%s: %d", row.name, longer);
    cr_assert_geq(longer, row.minShareAfter * 2000, "%s: %d", row.name, longer);
}

// Guards against hedging on the basis of too few samples.
Test(HedgePolicy, needsMinimumSamples)
{
    HedgePolicy policy;
    const ServiceId service("catalogue");
    for (unsigned n = 0; n + 1 < HedgeLimits {}.minSamples; ++n)
        policy.observe(service, std::chrono::milliseconds(10));
    cr_assert_not(policy.delayFor(service));
    policy.observe(service, std::chrono::milliseconds(10));
    cr_assert(policy.delayFor(service));
}
