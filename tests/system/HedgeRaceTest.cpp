#include "MemberStatus.h"
#include "RegistryCluster.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <memory>
#include <string>
#include <unistd.h>

using namespace dogwoodhall;

namespace {

constexpr int rounds = 4;
constexpr std::size_t slowEndpoint = 0;
constexpr std::size_t fastEndpoint = 1;
// Hedges leave 165 ms after the request. While the daemon is stopped, the fast endpoint answers the hedge and then the
// slow one answers the first attempt, so that the daemon finds both answers at once.
constexpr useconds_t stopAfterMicroseconds = 190'000;
constexpr useconds_t stoppedMicroseconds = 150'000;
constexpr const char* slowMode = "delay_ms=300";
constexpr const char* fastMode = "running=1&delay_ms=60";

} // namespace

struct HedgeRaceRow {
    const char* name;
    // More of the endpoints' modes.
    const char* slowMode;
    const char* fastMode;
};

const HedgeRaceRow hedgeRaceRows[] = {
    { "both short", "", "" },
    { "slow one in several reads", "&padding=60000", "" },
    { "slow one longer than what is read ahead", "&padding=200000", "" },
    { "both longer than what is read ahead", "&padding=200000", "&padding=200000" },
    // Each read of a head takes at most 16 KB, so that the hedge is answered after another step of the slow one.
    { "slow one with a head of 20 kB", "&head_padding=20000", "" },
    { "slow one with a head of 28 kB", "&head_padding=28000", "" },
    { "slow one with a head of 36 kB", "&head_padding=36000", "" },
    { "slow one with a head of 44 kB", "&head_padding=44000", "" },
    { "slow one with a head of 52 kB", "&head_padding=52000", "" },
    { "slow one with a head of 60 kB", "&head_padding=60000", "" },
};

namespace {

// Of either endpoint, with any padding.
bool isAnswerTo(const std::string& id, const std::string& body)
{
    const std::string text = " served " + id + "\n";
    const auto at = body.find(text);
    return (body.starts_with("i-0 ") || body.starts_with("i-1 ")) && at == 3
        && body.find_first_not_of('p', at + text.size()) == std::string::npos;
}

std::unique_ptr<TestClient> startRequest(const NetworkAddress& address, const std::string& id)
{
    auto client = std::make_unique<TestClient>(address);
    client->send("GET /lookups/1 HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: " + id
        + "\r\nDogwoodhall-Deadline-Ms: 4000\r\n\r\n");
    return client;
}

} // namespace

// Guards against an answer that is relayed although it has lost to its hedge before its body was read: the caller got
// bytes of unset memory, or the process ended.
ParameterizedTestParameters(HedgeRace, relaysOnlyAnswersThatHaveBegun) { return rowIndices(hedgeRaceRows); }

ParameterizedTest(std::size_t* index, HedgeRace, relaysOnlyAnswersThatHaveBegun, .timeout = 120)
{
    const auto& row = hedgeRaceRows[*index];
    RegistryCluster::Options options;
    options.settings = R"({ "trafficThreads": 1 })";
    options.routeTimeoutMs = 4000;
    std::uint64_t hedged = 0;
    for (int round = 0; round < rounds; ++round) {
        // A new daemon has not yet seen the slow endpoint lose, and prefers it.
        RegistryCluster cluster(2, 1, options);
        cluster.setMode(slowEndpoint, std::string(slowMode) + row.slowMode);
        cluster.setMode(fastEndpoint, std::string(fastMode) + row.fastMode);
        auto& daemon = cluster.daemon();
        const auto id = "race-" + std::to_string(round);
        const auto client = startRequest(daemon.caller, id);
        ::usleep(stopAfterMicroseconds);
        daemon.process.signal(SIGSTOP);
        ::usleep(stoppedMicroseconds);
        daemon.process.signal(SIGCONT);
        const auto response = client->readResponse();
        cr_assert(daemon.process.isRunning(), "%s, %s: the process ended", row.name, id.c_str());
        const auto error = response.field("Dogwoodhall-Error");
        cr_assert_eq(response.status, 200, "%s, %s: %u %s", row.name, id.c_str(), response.status, error.c_str());
        const bool isWhole = response.isComplete && isAnswerTo(id, response.body);
        cr_assert(isWhole, "%s, %s: another body of %zu bytes", row.name, id.c_str(), response.body.size());
        hedged += counterOf(daemon.admin, "dogwoodhall_hedges_total");
    }
    cr_expect_gt(hedged, 0u, "%s: no hedge", row.name);
}
