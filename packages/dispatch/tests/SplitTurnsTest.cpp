#include "TableRows.h"

#include "dogwoodhall/dispatch/WeightedRoundRobin.h"

#include <cmath>
#include <map>

using namespace dogwoodhall;

struct SplitRow {
    const char* name;
    std::uint32_t weights[3];
    std::size_t requests;
};

const SplitRow rows[] = {
    { "nine to one, few requests", { 90, 10, 0 }, 20 },
    { "equal", { 1, 1, 0 }, 7 },
    { "three parts", { 50, 30, 20 }, 100 },
    { "parts with zero weight", { 5, 0, 0 }, 10 },
};

// Guards against a traffic split that deviates from its weights, also over few requests.
ParameterizedTestParameters(WeightedRoundRobin, matchesWeights) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, WeightedRoundRobin, matchesWeights)
{
    const auto& row = rows[*index];
    RouteDeclaration route;
    route.id = RouteId("r");
    double total = 0;
    for (const auto weight : row.weights) {
        route.parts.push_back({ ServiceId("s" + std::to_string(route.parts.size())), weight });
        total += weight;
    }
    WeightedRoundRobin turns;
    std::map<ServiceId, double> counts;
    for (std::size_t n = 0; n < row.requests; ++n)
        ++counts[turns.next(route)];
    for (const auto& part : route.parts) {
        const double expected = static_cast<double>(row.requests) * part.weight / total;
        cr_expect(
            std::abs(counts[part.service] - expected) <= 1, "%s: %f of %f", row.name, counts[part.service], expected);
    }
}
