#include "RegistryCluster.h"
#include "TableRows.h"

#include <chrono>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string>

using namespace dogwoodhall;

namespace {

constexpr std::chrono::milliseconds maxAge { 2000 };
constexpr useconds_t firstReadPause = 2'500'000; // After the first read of the records.
constexpr useconds_t confirmationTime = 1'000'000; // Longer than the time between two reads that confirm the records.
constexpr useconds_t pollInterval = 20'000;
constexpr useconds_t margin = 500'000;

} // namespace

struct OutageRow {
    const char* registryMode;
};

const OutageRow outageRows[] = { { "down" }, { "busy" }, { "silent" } };

// Guards against a 404 for a route that the operator has added while the store did not answer the member: it must not
// deny a request by a configuration of unknown age.
ParameterizedTestParameters(Denial, namesNoMissingRouteByAnOldConfiguration) { return rowIndices(outageRows); }

ParameterizedTest(std::size_t* index, Denial, namesNoMissingRouteByAnOldConfiguration, .timeout = 60)
{
    const auto& row = outageRows[*index];
    RegistryCluster cluster(1, 1, RegistryCluster::Options::withMaxConfigurationAge(maxAge));
    ::usleep(firstReadPause);
    cr_assert_eq(cluster.request("GET", "/finds/1", "before").status, 404, "%s", row.registryMode);
    cluster.setRegistryMode(row.registryMode);
    ::usleep(confirmationTime);
    cluster.publishRouting(2, "/finds/");
    ::usleep(maxAge / std::chrono::microseconds(1) + margin);
    const auto denied = cluster.request("GET", "/finds/1", "added");
    cr_expect_eq(denied.status, 503, "%s: %u for a route that was added", row.registryMode, denied.status);
    cr_expect_not(denied.field("Retry-After").empty(), "%s: says no time to come back", row.registryMode);
    cluster.setRegistryMode("serving");
    cr_expect(eventually([&] { return cluster.request("GET", "/finds/1", "after").status == 200; }));
    cr_expect(eventually([&] { return cluster.request("GET", "/none/1", "never").status == 404; }));
}

// Guards against a member that refuses all requests for seconds because the store does not answer it.
ParameterizedTestParameters(Denial, servesKnownRoutesInAnOutage) { return rowIndices(outageRows); }

ParameterizedTest(std::size_t* index, Denial, servesKnownRoutesInAnOutage, .timeout = 60)
{
    using Clock = std::chrono::steady_clock;
    const auto& row = outageRows[*index];
    RegistryCluster cluster(1, 1, RegistryCluster::Options::withMaxConfigurationAge(maxAge));
    ::usleep(firstReadPause);
    cluster.setRegistryMode(row.registryMode);
    const auto begin = Clock::now();
    while (Clock::now() < begin + 2 * maxAge) {
        const auto status = cluster.request("GET", "/lookups/1", "known").status;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
        cr_assert_eq(status, 200, "%s: %u after %d ms", row.registryMode, status, static_cast<int>(age.count()));
        ::usleep(pollInterval);
    }
}
