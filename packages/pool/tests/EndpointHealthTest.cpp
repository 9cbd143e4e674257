#include "dogwoodhall/pool/EndpointHealth.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct HealthRow {
    const char* guardsAgainst;
    unsigned answers; // Of `serviceMs` each; the pool's median is 10 ms.
    unsigned serviceMs;
    unsigned outliers; // Responses of 400 ms each, after the others.
    unsigned failures; // After all responses.
    bool isEjected;
    double minWeight;
    double maxWeight;
};

const HealthRow rows[] = {
    { "reducing the weight of a new endpoint", 0, 0, 0, 0, false, 1, 1 },
    { "treating normal variation of service times as slowness", 50, 19, 0, 0, false, 1, 1 },
    { "giving a slow endpoint its full weight", 50, 40, 0, 0, false, 0.2, 0.3 },
    { "treating an endpoint as slow after one long request", 50, 10, 1, 0, false, 1, 1 },
    { "keeping a very slow endpoint", 50, 100, 0, 0, true, 0.1, 0.1 },
    { "ejection after one slow response", 1, 1000, 0, 0, false, 0.1, 0.1 },
    { "ejection after one failure", 5, 10, 0, 1, false, 0.9, 0.95 },
    { "keeping a failing endpoint", 5, 10, 0, 5, true, 0.7, 0.75 },
};

ParameterizedTestParameters(EndpointHealth, weightsAndEjects) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, EndpointHealth, weightsAndEjects)
{
    const HealthRow& row = rows[*index];
    const EndpointHealthLimits limits;
    const Duration median = std::chrono::milliseconds(10);
    EndpointHealth health;
    bool shouldEject = false;
    for (unsigned n = 0; n < row.answers; ++n)
        shouldEject = health.recordAnswer(std::chrono::milliseconds(row.serviceMs), median, TimePoint(), limits);
    for (unsigned n = 0; n < row.outliers; ++n)
        shouldEject = health.recordAnswer(std::chrono::milliseconds(400), median, TimePoint(), limits);
    for (unsigned n = 0; n < row.failures; ++n)
        shouldEject = health.recordFailure(limits);
    const double weight = health.weight(median);
    cr_assert_eq(shouldEject, row.isEjected, "guards against %s", row.guardsAgainst);
    cr_assert(
        weight >= row.minWeight && weight <= row.maxWeight, "guards against %s: weight %f", row.guardsAgainst, weight);
}
