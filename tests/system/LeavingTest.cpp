#include "Cluster.h"
#include "MemberStatus.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <memory>
#include <vector>

using namespace dogwoodhall;

namespace {

constexpr int requestsAfterwards = 30;
constexpr int requestsAtOnce = 5; // Of the six slots of two upstreams, of which one may be in use.

// True if consecutive requests all went to u1.
bool avoidsLeaving(Cluster& cluster)
{
    for (int n = 0; n < requestsAfterwards; ++n) {
        if (call(cluster.caller(), { "GET", "/a", {}, {}, {} }).field("X-Endpoint") != "u1")
            return false;
    }
    return true;
}

// Sends more requests at once than u1 has slots, so that u0 gets one even if it is busier.
void fillUpstreams(Cluster& cluster)
{
    std::vector<std::unique_ptr<TestClient>> clients;
    for (int n = 0; n < requestsAtOnce; ++n) {
        clients.push_back(std::make_unique<TestClient>(cluster.caller()));
        clients.back()->send(TestRequest { "GET", "/a?delay_ms=100", {}, {}, {} }.text());
    }
    for (auto& client : clients)
        client->readResponse();
}

// Announces that u0 is leaving and waits until the daemon has been notified. Before that, u0 may get no requests by
// chance, for example because a request in flight makes it the busier one.
void announceLeaving(Cluster& cluster, bool inHostList, bool inResponses)
{
    if (inResponses) {
        cluster.setMode(0, "draining=1");
        const auto before = cluster.received(0);
        cr_assert(eventually([&] {
            fillUpstreams(cluster);
            return cluster.received(0) > before;
        }));
    }
    if (inHostList) {
        const auto before = statusOf(cluster.daemon()).hostListVersion;
        cluster.upstream(0).isLeaving = true;
        cluster.publishHosts();
        cr_assert(eventually([&] { return statusOf(cluster.daemon()).hostListVersion > before; }));
    }
}

} // namespace

struct LeavingRow {
    const char* name;
    bool inHostList;
    bool inResponses;
    const char* platform; // Mode of the platform stand-in after the announcement.
    bool requestInFlight;
};

const LeavingRow rows[] = {
    { "host list", true, false, "serving", false },
    { "host list, request in flight", true, false, "serving", true },
    { "responses", false, true, "serving", false },
    { "responses, request in flight", false, true, "serving", true },
    { "responses, platform stale", false, true, "stale", false },
    { "responses, platform down", false, true, "down", false },
    { "host list and responses", true, true, "serving", false },
};

// Guards against new requests to an upstream that has announced that it is leaving, and against losing requests in
// flight there. The host list is read about once a second, and one response is enough to announce it, so both take
// effect after a short time; from then on the upstream may get no request.
ParameterizedTestParameters(Leaving, getsNoNewWork) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Leaving, getsNoNewWork, .timeout = 90)
{
    const auto& row = rows[*index];
    auto cluster = Cluster::Builder().upstreams(2).start();
    TestClient inFlight(cluster.caller());
    if (row.requestInFlight) {
        inFlight.send(TestRequest { "GET", "/a?delay_ms=3000", {}, {}, "in-flight" }.text());
        cr_assert(eventually([&] { return cluster.runs("in-flight") == 1; }));
    }
    announceLeaving(cluster, row.inHostList, row.inResponses);
    cluster.platformCall("PUT", std::string("/control/mode?state=") + row.platform);
    cr_assert(eventually([&] { return avoidsLeaving(cluster); }), "%s: u0 still gets work", row.name);
    cr_assert(avoidsLeaving(cluster), "%s: u0 gets work again", row.name);
    if (row.requestInFlight) {
        const auto response = inFlight.readResponse();
        cr_assert(response.isComplete && response.status == 200, "%s: status %u", row.name, response.status);
    }
}

struct UnrelatedChangeRow {
    const char* name;
    const char* change;
};

const UnrelatedChangeRow unrelatedChangeRows[] = {
    { "host list changes for another host", "hosts" },
    { "service record changes", "records" },
};

// Guards against a draining upstream that gets requests again because an unrelated change was published.
ParameterizedTestParameters(Leaving, drainingSurvivesUnrelatedChanges) { return rowIndices(unrelatedChangeRows); }

ParameterizedTest(std::size_t* index, Leaving, drainingSurvivesUnrelatedChanges, .timeout = 90)
{
    const auto& row = unrelatedChangeRows[*index];
    auto cluster = Cluster::Builder().upstreams(3).start();
    cluster.setMode(0, "draining=1");
    cr_assert(eventually([&] { return avoidsLeaving(cluster) || cluster.received(0) > 0; }));
    while (cluster.received(0) == 0)
        call(cluster.caller(), { "GET", "/a", {}, {}, {} });
    const auto before = cluster.received(0);
    if (std::string(row.change) == "hosts") {
        cluster.upstream(2).isLeaving = true;
        cluster.publishHosts();
    } else {
        cluster.declaredUpstreams = { "u0", "u1" };
        cluster.publishService();
    }
    // u2 gets no more requests once the change is in effect.
    cr_assert(eventually([&] { return avoidsLeaving(cluster); }), "%s: u0 gets work again", row.name);
    cr_assert_eq(cluster.received(0), before, "%s: u0 got work in between", row.name);
}
