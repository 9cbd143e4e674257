#include "Cluster.h"
#include "MemberStatus.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

namespace {

std::string servedBy(Cluster& cluster)
{
    const auto response = call(cluster.caller(), { "GET", "/a", {}, {}, {} });
    return response.status == 200 ? response.field("X-Endpoint") : std::to_string(response.status);
}

// Waits until the record is in effect. While an earlier one that names several upstreams is in effect, the expected
// upstream may serve by chance, which proves nothing.
void declareOnly(Cluster& cluster, const std::string& upstream)
{
    cluster.declaredUpstreams = { upstream };
    const auto revision = cluster.publishService();
    cr_assert(eventually([&] { return statusOf(cluster.daemon()).revision >= revision; }),
        "the record that names only %s does not take effect", upstream.c_str());
}

// Waits until this upstream serves a request, since a change takes some time to take effect; false at testDeadline.
bool eventuallyServedBy(Cluster& cluster, const std::string& upstream)
{
    return eventually([&] { return servedBy(cluster) == upstream; });
}

void checkServedBy(Cluster& cluster, const char* upstream, const char* row)
{
    for (int n = 0; n < 50; ++n) {
        const auto by = servedBy(cluster);
        cr_assert_eq(by, upstream, "%s: request %d got %s", row, n, by.c_str());
    }
}

std::size_t reads(Cluster& cluster) { return std::stoull(cluster.platformCall("GET", "/control/reads").body); }

// Waits until the daemon has read from the platform in its present state.
void waitForReads(Cluster& cluster, std::size_t count)
{
    const auto before = reads(cluster);
    cr_assert(eventually([&] { return reads(cluster) >= before + count; }));
}

} // namespace

struct PlatformRow {
    const char* name;
    const char* mode; // Of the platform stand-in, or "killed", "restarted empty" or "restarted older".
};

const PlatformRow rows[] = {
    { "killed", "killed" },
    { "down", "down" },
    { "stale", "stale" },
    { "restarted without state", "restarted empty" },
    { "restarted with an older state", "restarted older" },
};

// Guards against a daemon that loses its configuration, or reverts to an older one, when the platform fails. Before the
// fault u1 replaces u0; u0 must never serve again. After the fault a new change must take effect.
ParameterizedTestParameters(Platform, neverRevertsAConfiguration) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Platform, neverRevertsAConfiguration, .timeout = 120)
{
    const auto& row = rows[*index];
    const std::string mode = row.mode;
    auto cluster = Cluster::Builder().upstreams(3).start();
    declareOnly(cluster, "u0");
    cr_assert(eventuallyServedBy(cluster, "u0"));
    const auto older = cluster.platformCall("GET", "/control/state").body;
    declareOnly(cluster, "u1");
    cr_assert(eventuallyServedBy(cluster, "u1"));
    const auto newer = cluster.platformCall("GET", "/control/state").body;

    if (mode == "killed")
        cluster.killPlatform();
    else if (mode.starts_with("restarted"))
        cluster.restartPlatform(mode == "restarted older" ? older : "");
    else
        cluster.platformCall("PUT", "/control/mode?state=" + mode);
    if (mode != "killed")
        waitForReads(cluster, 3);
    checkServedBy(cluster, "u1", row.name);

    if (mode == "stale" || mode == "down")
        cluster.platformCall("PUT", "/control/mode?state=serving");
    else
        cluster.restartPlatform(newer);
    declareOnly(cluster, "u2");
    cr_assert(eventuallyServedBy(cluster, "u2"), "%s: a later change does not take effect", row.name);
}

// Guards against a daemon that accepts an older record of a key because the store's overall revision has advanced.
struct OlderRecordRow {
    const char* name;
    int otherChanges; // Records of other keys that the restored store gets before and after the restore.
};

const OlderRecordRow olderRecordRows[] = {
    { "restored store exceeds the revision in effect", 4 },
    { "restored store stays below the revision in effect", 0 },
};

ParameterizedTestParameters(Platform, keepsTheNewerRecordOfAKey) { return rowIndices(olderRecordRows); }

ParameterizedTest(std::size_t* index, Platform, keepsTheNewerRecordOfAKey, .timeout = 120)
{
    const auto& row = olderRecordRows[*index];
    auto cluster = Cluster::Builder().upstreams(2).start();
    declareOnly(cluster, "u0");
    const auto older = cluster.platformCall("GET", "/control/state").body;
    declareOnly(cluster, "u1");
    cr_assert(eventuallyServedBy(cluster, "u1"));
    cluster.restartPlatform(older);
    const std::string topology = R"({"schemaVersion":1,"dataCentres":[{"id":"dc0","region":"region"}]})";
    for (int n = 0; n < row.otherChanges; ++n)
        cluster.platformCall("PUT", "/control/records/topology", topology);
    waitForReads(cluster, 3);
    checkServedBy(cluster, "u1", row.name);
}

struct LateStartRow {
    const char* name;
    const char* mode;
};

const LateStartRow lateStartRows[] = {
    { "down before the start", "down" },
    { "killed before the start", "killed" },
};

// Guards against a daemon that reports to be ready, or runs a request, before it has a configuration, and against one
// that gives up while the platform is unavailable.
ParameterizedTestParameters(Platform, daemonStartsWithoutIt) { return rowIndices(lateStartRows); }

ParameterizedTest(std::size_t* index, Platform, daemonStartsWithoutIt, .timeout = 90)
{
    const auto& row = lateStartRows[*index];
    auto cluster = Cluster::Builder().start();
    const auto state = cluster.platformCall("GET", "/control/state").body;
    if (std::string(row.mode) == "killed")
        cluster.killPlatform();
    else
        cluster.platformCall("PUT", "/control/mode?state=down");
    cluster.daemon().process.kill();
    auto& daemon = cluster.startDaemon("dc0");
    cr_assert_eq(call(daemon.admin, { "GET", "/health", {}, {}, {} }).status, 200, "%s", row.name);
    cr_assert_eq(call(daemon.admin, { "GET", "/ready", {}, {}, {} }).status, 503, "%s", row.name);
    const auto response = call(daemon.caller, { "POST", "/a", {}, "order", "early" });
    cr_assert_eq(response.field("Dogwoodhall-Error"), "not-ready", "%s", row.name);
    cr_assert_eq(response.field("Dogwoodhall-Outcome"), "not-run", "%s", row.name);
    cr_assert_eq(cluster.runs("early"), 0, "%s", row.name);
    cluster.restartPlatform(state);
    cluster.waitUntilReady(daemon);
    cr_assert_eq(call(daemon.caller, { "POST", "/a", {}, "order", "ready" }).status, 200, "%s", row.name);
    cr_assert_eq(statusOf(daemon).alivePeers, 0, "%s: a listed host that never answered counts as alive", row.name);
    cr_assert_eq(counterOf(daemon, "dogwoodhall_members_alive"), 1, "%s", row.name);
}

struct RejectedRow {
    const char* name;
    const char* value;
};

const RejectedRow rejectedRows[] = {
    { "not JSON", "{" },
    { "not an object", "[]" },
    { "no endpoints", R"({"schemaVersion":1,"service":"jingles"})" },
    { "endpoint without address",
        R"({"schemaVersion":1,"service":"jingles","endpoints":[{"id":"x","host":"x","dataCentre":"dc0","slots":1}]})" },
};

// Guards against an invalid record that takes effect in part or displaces the one in effect.
ParameterizedTestParameters(Platform, invalidRecordChangesNothing) { return rowIndices(rejectedRows); }

ParameterizedTest(std::size_t* index, Platform, invalidRecordChangesNothing, .timeout = 90)
{
    const auto& row = rejectedRows[*index];
    auto cluster = Cluster::Builder().upstreams(2).start();
    declareOnly(cluster, "u0");
    cr_assert(eventuallyServedBy(cluster, "u0"));
    cluster.platformCall("PUT", "/control/records/services/jingles", row.value);
    waitForReads(cluster, 3);
    for (int n = 0; n < 20; ++n)
        cr_assert_eq(servedBy(cluster), "u0", "%s", row.name);
    declareOnly(cluster, "u1");
    cr_assert(eventuallyServedBy(cluster, "u1"), "%s: the corrected record does not take effect", row.name);
}
