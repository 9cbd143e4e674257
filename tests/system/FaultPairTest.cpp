#include "Cluster.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <memory>

using namespace dogwoodhall;

namespace {

// u2 stays healthy under each fault.
struct NamedFault {
    const char* name;
    void (*apply)(Cluster&);
};

const NamedFault faults[] = {
    { "u0 dies at its next request", [](Cluster& cluster) { cluster.setMode(0, "fault=die-after"); } },
    { "u0 is killed", [](Cluster& cluster) { cluster.upstream(0).process.signal(SIGKILL); } },
    { "u1 refuses", [](Cluster& cluster) { cluster.setMode(1, "refuse=1"); } },
    { "u1 cuts connections", [](Cluster& cluster) { cluster.setMode(1, "fault=cut-before"); } },
    { "u1 is draining", [](Cluster& cluster) { cluster.setMode(1, "draining=1"); } },
    { "u1 is slow", [](Cluster& cluster) { cluster.setMode(1, "delay_ms=300"); } },
    { "u1 sends surplus bytes", [](Cluster& cluster) { cluster.setMode(1, "surplus=2"); } },
    { "u1 freezes", [](Cluster& cluster) { cluster.setMode(1, "fault=freeze-before"); } },
    { "platform killed", [](Cluster& cluster) { cluster.killPlatform(); } },
    { "platform stale",
        [](Cluster& cluster) {
            // Not reachable if another fault has killed it.
            if (cluster.platform().isRunning())
                cluster.platformCall("PUT", "/control/mode?state=stale");
        } },
    { "daemon paused",
        [](Cluster& cluster) {
            cluster.daemon().process.signal(SIGSTOP);
            ::usleep(100'000);
            cluster.daemon().process.signal(SIGCONT);
        } },
};

struct FaultPair {
    std::size_t first;
    std::size_t second;
};

} // namespace

// Pairs of faults of different components.
const FaultPair faultPairs[] = { { 0, 2 }, { 0, 3 }, { 0, 8 }, { 1, 2 }, { 1, 4 }, { 1, 9 }, { 2, 8 }, { 3, 9 },
    { 3, 10 }, { 4, 8 }, { 5, 1 }, { 6, 0 }, { 6, 8 }, { 7, 1 }, { 7, 8 }, { 8, 10 } };

constexpr std::size_t callers = 4;
constexpr std::size_t rounds = 10;

std::string idOf(std::size_t round, std::size_t caller) { return std::to_string(round) + "-" + std::to_string(caller); }

// Every second caller's request is not idempotent. Bodies differ in length, so that responses can be told apart.
void sendRound(Cluster& cluster, std::size_t round, std::vector<std::unique_ptr<TestClient>>& clients)
{
    for (std::size_t n = 0; n < callers; ++n) {
        clients.push_back(std::make_unique<TestClient>(cluster.daemon(n / 2).caller));
        clients.back()->send(TestRequest {
            n % 2 ? "POST" : "GET", "/a", "Dogwoodhall-Deadline-Ms: 1000\r\n", std::string(n + 1, 'b'), idOf(round, n) }
                                 .text());
    }
}

void checkResponse(const Cluster& cluster, const std::string& name, std::size_t caller, const std::string& id,
    const Response& response)
{
    const auto runs = cluster.runs(id);
    const auto outcome = response.field("Dogwoodhall-Outcome");
    const auto expected = " received " + std::to_string(caller + 1) + " bytes\n";
    cr_assert(response.isComplete && response.status, "%s: %s got no complete response", name.c_str(), id.c_str());
    cr_assert(response.status != 200 || response.body.ends_with(expected), "%s: %s", name.c_str(), id.c_str());
    cr_assert(response.status == 200 || !outcome.empty(), "%s: %s has no outcome", name.c_str(), id.c_str());
    cr_assert(outcome != "not-run" || runs == 0, "%s: %s ran", name.c_str(), id.c_str());
    cr_assert(caller % 2 == 0 || runs <= 1, "%s: %s ran %zu times", name.c_str(), id.c_str(), runs);
}

// Guards against invariants that hold under each fault alone but not under two. Callers use two daemons at the same
// time; the faults occur one after the other while they do.
ParameterizedTestParameters(FaultPair, invariantsHold) { return rowIndices(faultPairs); }

ParameterizedTest(std::size_t* index, FaultPair, invariantsHold, .timeout = 120)
{
    const auto& pair = faultPairs[*index];
    const std::string name = std::string(faults[pair.first].name) + " and " + faults[pair.second].name;
    auto cluster = Cluster::Builder().upstreams(3).daemons(2).start();
    for (std::size_t round = 0; round < rounds; ++round) {
        if (round == rounds / 3)
            faults[pair.first].apply(cluster);
        if (round == rounds / 2)
            faults[pair.second].apply(cluster);
        std::vector<std::unique_ptr<TestClient>> clients;
        sendRound(cluster, round, clients);
        for (std::size_t n = 0; n < callers; ++n)
            checkResponse(cluster, name, n, idOf(round, n), clients[n]->readResponse());
    }
    // The healthy upstream still serves.
    const TestRequest request { "GET", "/a", "Dogwoodhall-Deadline-Ms: 500\r\n", {}, {} };
    cr_assert(eventually([&] { return call(cluster.caller(), request).status == 200; }), "%s", name.c_str());
}
