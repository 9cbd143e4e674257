#include "dogwoodhall/pool/EndpointHealth.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

struct HealthRow {
    const char* guardsAgainst;
    unsigned answers; // Of `serviceMs` each, where the pool's median is 10 ms.
    unsigned serviceMs;
    unsigned outliers; // Answers of 400 ms each, after the others.
    unsigned failures; // After all answers.
    bool isEjected;
    double leastWeight;
    double mostWeight;
};

const HealthRow rows[] = {
    { "a new endpoint taken for bad", 0, 0, 0, 0, false, 1, 1 },
    { "ordinary spread of service times taken for slowness", 50, 19, 0, 0, false, 1, 1 },
    { "a slow endpoint with its full weight", 50, 40, 0, 0, false, 0.2, 0.3 },
    { "one long request making its endpoint look slow", 50, 10, 1, 0, false, 1, 1 },
    { "a very slow endpoint that stays", 50, 100, 0, 0, true, 0.1, 0.1 },
    { "ejection on one slow answer", 1, 1000, 0, 0, false, 0.1, 0.1 },
    { "ejection on one failure", 5, 10, 0, 1, false, 0.9, 0.95 },
    { "a failing endpoint that stays", 5, 10, 0, 5, true, 0.7, 0.75 },
};

ParameterizedTestParameters(EndpointHealth, judges) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, EndpointHealth, judges)
{
    const HealthRow& row = rows[*index];
    const EndpointHealthLimits limits;
    const Duration typical = std::chrono::milliseconds(10);
    EndpointHealth health;
    bool shouldEject = false;
    for (unsigned n = 0; n < row.answers; ++n)
        shouldEject = health.recordAnswer(std::chrono::milliseconds(row.serviceMs), typical, TimePoint(), limits);
    for (unsigned n = 0; n < row.outliers; ++n)
        shouldEject = health.recordAnswer(std::chrono::milliseconds(400), typical, TimePoint(), limits);
    for (unsigned n = 0; n < row.failures; ++n)
        shouldEject = health.recordFailure(limits);
    const double weight = health.weight(typical);
    cr_assert_eq(shouldEject, row.isEjected, "guards against %s", row.guardsAgainst);
    cr_assert(weight >= row.leastWeight && weight <= row.mostWeight, "guards against %s: weight %f", row.guardsAgainst,
        weight);
}
