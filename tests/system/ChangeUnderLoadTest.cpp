#include "Cluster.h"
#include "MemberStatus.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <memory>
#include <string>

using namespace dogwoodhall;

namespace {

// Few enough for sanitizers, under which each round takes several times as long.
constexpr std::size_t rounds = 40;
constexpr std::size_t requestsPerRound = 6;

std::vector<std::unique_ptr<TestClient>> startRequests(Cluster& cluster, const char* method, std::size_t round)
{
    std::vector<std::unique_ptr<TestClient>> clients;
    for (std::size_t n = 0; n < requestsPerRound; ++n) {
        clients.push_back(std::make_unique<TestClient>(cluster.caller()));
        const auto id = std::to_string(round) + "-" + std::to_string(n);
        clients.back()->send(TestRequest { method, "/a", "Dogwoodhall-Deadline-Ms: 8000\r\n", {}, id }.text());
    }
    return clients;
}

} // namespace

struct ChangeRow {
    const char* name;
    const char* method;
    void (*change)(Cluster&, std::size_t round);
};

void replaceEndpoint(Cluster& cluster, std::size_t round)
{
    cluster.declaredUpstreams = { round % 2 ? "u1" : "u0", "u2" };
    cluster.publishService();
}

void replaceAllEndpoints(Cluster& cluster, std::size_t round)
{
    cluster.declaredUpstreams = { round % 2 ? "u1" : "u0" };
    cluster.publishService();
}

void changeLeaving(Cluster& cluster, std::size_t round)
{
    cluster.upstream(0).isLeaving = round % 2 == 0;
    cluster.publishHosts();
}

const ChangeRow rows[] = {
    { "one endpoint replaced, idempotent", "GET", replaceEndpoint },
    { "one endpoint replaced, not idempotent", "POST", replaceEndpoint },
    { "all endpoints replaced, idempotent", "GET", replaceAllEndpoints },
    { "all endpoints replaced, not idempotent", "POST", replaceAllEndpoints },
    { "a host leaves and returns", "POST", changeLeaving },
};

// Guards against requests that fail or wait only because a record or the host list changes while they are placed. All
// upstreams are healthy, so each request must be served by one of them, once.
ParameterizedTestParameters(ChangeUnderLoad, failsNoRequest) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, ChangeUnderLoad, failsNoRequest, .timeout = 120)
{
    const auto& row = rows[*index];
    auto cluster = Cluster::Builder().upstreams(3).slots(requestsPerRound).start();
    std::size_t extraRuns = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        auto clients = startRequests(cluster, row.method, round);
        row.change(cluster, round);
        for (std::size_t n = 0; n < clients.size(); ++n) {
            const auto response = clients[n]->readResponse();
            const auto error = response.field("Dogwoodhall-Error");
            cr_assert_eq(
                response.status, 200, "%s: round %zu: status %u, %s", row.name, round, response.status, error.c_str());
            const std::size_t runs = cluster.runs(std::to_string(round) + "-" + std::to_string(n));
            cr_assert_geq(runs, 1, "%s", row.name);
            extraRuns += runs - 1;
        }
    }
    // Only a hedge may run an idempotent request a second time.
    const std::size_t allowed
        = row.method == std::string("GET") ? counterOf(cluster.daemon(), "dogwoodhall_hedges_total") : 0;
    cr_assert_leq(extraRuns, allowed, "%s: %zu requests ran again, %zu hedges", row.name, extraRuns, allowed);
}
