#include "RegistryCluster.h"
#include "TableRows.h"

#include <chrono>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string>

using namespace dogwoodhall;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t daemons = 2;
constexpr std::chrono::seconds maxChangeTime { 3 }; // From the store's acknowledgement until a change is in force.
constexpr useconds_t absence = 600'000; // Of the store.
constexpr useconds_t pollInterval = 20'000;
constexpr std::chrono::milliseconds observed { 1000 };

bool areAll(RegistryCluster& cluster, const std::string& path, unsigned status)
{
    bool result = true;
    for (std::size_t n = 0; n < daemons; ++n)
        result = result && cluster.request("GET", path, "probe", n).status == status;
    return result;
}

// Whether each daemon answers with this status within the time that a change may take.
bool becomes(RegistryCluster& cluster, const std::string& path, unsigned status)
{
    return eventually([&] { return areAll(cluster, path, status); }, maxChangeTime);
}

// Whether each daemon answers with this status and no other for some time.
bool stays(RegistryCluster& cluster, const std::string& path, unsigned status)
{
    const auto end = Clock::now() + observed;
    while (Clock::now() < end) {
        if (!areAll(cluster, path, status))
            return false;
        ::usleep(pollInterval);
    }
    return true;
}

void writeOthers(RegistryCluster& cluster, unsigned count)
{
    for (unsigned n = 0; n < count; ++n)
        cluster.publishText("other/" + std::to_string(n), "x");
}

} // namespace

struct RestoreRow {
    const char* name;
    unsigned lost; // Changes of other keys since the copy, besides the new version.
    unsigned rewritten; // Changes of other keys before the store is back, besides the entries of the endpoints.
    bool isRewrittenFirst; // All is written again before the store is back.
    unsigned restores;
};

const RestoreRow restoreRows[] = {
    { "fewer revisions than before, then written", 8, 0, false, 1 },
    { "written first, fewer revisions than before", 8, 0, true, 1 },
    { "written first, as many revisions as before", 8, 6, true, 1 },
    { "written first, more revisions than before", 8, 12, true, 1 },
    { "one lost change", 0, 0, false, 1 },
    { "twice in a row", 8, 0, false, 2 },
};

// Guards against members that go back to an older version, or follow no newer one, after the store has come back from
// an older copy and gives out its revisions again: the version in force was confirmed again and again.
ParameterizedTestParameters(RestoredStore, followsTheNextEra) { return rowIndices(restoreRows); }

ParameterizedTest(std::size_t* index, RestoredStore, followsTheNextEra, .timeout = 60)
{
    const auto& row = restoreRows[*index];
    RegistryCluster cluster(2, daemons, RegistryCluster::Options::withMaxConfigurationAge(maxChangeTime));
    cluster.publishRouting(7, "/lookups/");
    cluster.copyRegistry();
    // Last, at the highest of the revisions that are given out again.
    writeOthers(cluster, row.lost);
    cluster.publishRouting(9, "/finds/");
    cr_assert(becomes(cluster, "/finds/1", 200), "%s: version 9 never came into force", row.name);
    const auto writeAgain = [&] {
        writeOthers(cluster, row.rewritten);
        cluster.publishEndpoint(0, "ready");
        cluster.publishEndpoint(1, "ready");
        cluster.publishRouting(11, "/seeks/");
    };
    for (unsigned n = 0; n < row.restores; ++n) {
        cluster.setRegistryMode("down");
        cluster.restoreRegistry();
        if (row.isRewrittenFirst)
            writeAgain();
        ::usleep(absence);
        cluster.setRegistryMode("serving");
    }
    if (!row.isRewrittenFirst) {
        cr_expect(stays(cluster, "/finds/1", 200), "%s: back to version 7", row.name);
        writeAgain();
    }
    cr_expect(becomes(cluster, "/seeks/1", 200), "%s: version 11 is not in force", row.name);
    cr_expect(becomes(cluster, "/finds/1", 404), "%s: version 9 is still in force", row.name);
    cluster.publishRouting(12, "/looks/");
    cr_expect(becomes(cluster, "/looks/1", 200), "%s: version 12 is not in force", row.name);
}

enum class Since { Drains, Left, Joined }; // What the only endpoint has done since the copy.

struct RestoredEndpointRow {
    const char* name;
    Since since;
    bool writesAgain;
    unsigned statusAfterRestore; // Of requests, from the return until it writes again.
    unsigned statusAtEnd;
};

const RestoredEndpointRow restoredEndpointRows[] = {
    { "drains", Since::Drains, false, 503, 503 },
    { "left", Since::Left, false, 503, 503 },
    { "left, starts again", Since::Left, true, 503, 200 },
    { "joined", Since::Joined, true, 200, 200 },
    { "joined, is gone", Since::Joined, false, 200, 503 },
};

// Guards against a server that has left, or is leaving, that is used again because an older copy of the store shows it,
// and against the loss of servers that the copy lacks.
ParameterizedTestParameters(RestoredStore, keepsTheStateOfEndpoints) { return rowIndices(restoredEndpointRows); }

ParameterizedTest(std::size_t* index, RestoredStore, keepsTheStateOfEndpoints, .timeout = 60)
{
    const auto& row = restoredEndpointRows[*index];
    RegistryCluster cluster(1, daemons, RegistryCluster::Options::withMaxConfigurationAge(maxChangeTime));
    const bool isInCopy = row.since != Since::Joined;
    if (!isInCopy) {
        cluster.removeEndpoint(0);
        cr_assert(becomes(cluster, "/lookups/1", 503), "%s", row.name);
    }
    cluster.copyRegistry();
    writeOthers(cluster, 8);
    if (row.since == Since::Left)
        cluster.removeEndpoint(0);
    else
        cluster.publishEndpoint(0, isInCopy ? "draining" : "ready");
    cr_assert(becomes(cluster, "/lookups/1", row.statusAfterRestore), "%s", row.name);
    const auto received = cluster.received(0);
    cluster.setRegistryMode("down");
    cluster.restoreRegistry();
    ::usleep(absence);
    cluster.setRegistryMode("serving");
    cr_expect(stays(cluster, "/lookups/1", row.statusAfterRestore), "%s: changed by the copy", row.name);
    if (isInCopy)
        cr_expect_eq(cluster.received(0), received, "%s: used again", row.name);
    if (row.writesAgain)
        cluster.publishEndpoint(0, "ready");
    cr_expect(becomes(cluster, "/lookups/1", row.statusAtEnd), "%s: not %u at the end", row.name, row.statusAtEnd);
    cr_expect(stays(cluster, "/lookups/1", row.statusAtEnd), "%s", row.name);
}
