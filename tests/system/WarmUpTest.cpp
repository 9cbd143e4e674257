#include "RegistryCluster.h"
#include "TableRows.h"

#include <atomic>
#include <chrono>
#include <cmath>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace dogwoodhall;

namespace {

constexpr double coldPerSecond = 3;
constexpr double overage = 1.5;
constexpr double slack = 7.5;
constexpr std::size_t daemons = 3; // None knows of the others: each takes itself for the whole fleet.
constexpr unsigned warmUpMs = 60'000; // Longer than the test.
constexpr std::chrono::seconds crowdTime { 13 }; // A member without known peers uses cold endpoints after 10 s.
constexpr std::size_t callersPerDaemon = 3;
constexpr std::chrono::milliseconds callerPause { 5 }; // Between two requests.

// Callers that send one request after another to all daemons.
class Crowd {
public:
    explicit Crowd(RegistryCluster& cluster)
    {
        const auto end = std::chrono::steady_clock::now() + crowdTime;
        std::vector<std::thread> callers;
        for (std::size_t n = 0; n < daemons * callersPerDaemon; ++n) {
            callers.emplace_back([&, n] {
                for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
                    const auto id = "caller-" + std::to_string(n) + "-" + std::to_string(i);
                    count(cluster.request("GET", "/lookups/1", id, n % daemons).status);
                    std::this_thread::sleep_for(callerPause);
                }
            });
        }
        for (auto& caller : callers)
            caller.join();
    }

    std::atomic<std::size_t> served { 0 };
    std::atomic<std::size_t> refused { 0 };
    std::atomic<std::size_t> others { 0 };
    std::atomic<unsigned> lastOther { 0 }; // Its status.

private:
    void count(unsigned status)
    {
        ++(status == 200 ? served : status == 503 ? refused : others);
        if (status != 200 && status != 503)
            lastOther = status;
    }
};

} // namespace

enum class Statement : std::uint8_t { Entry, HealthAnswer };

struct WarmUpRow {
    const char* name;
    Statement statement;
    std::size_t endpoints; // The first one is cold, the others are warm.
};

const WarmUpRow warmUpRows[] = {
    { "stated in the entry", Statement::Entry, 2 },
    { "stated in health answers", Statement::HealthAnswer, 2 },
    { "stated in health answers, no other endpoint", Statement::HealthAnswer, 1 },
};

// Guards against more requests in a second than a cold endpoint may get from all members together, also when the
// members do not know each other, and against a cold endpoint that gets no work.
ParameterizedTestParameters(WarmUp, limitsColdEndpoints) { return rowIndices(warmUpRows); }

ParameterizedTest(std::size_t* index, WarmUp, limitsColdEndpoints, .timeout = 120)
{
    const auto& row = warmUpRows[*index];
    RegistryCluster cluster(row.endpoints, daemons,
        { .coldRequestsPerSecond = coldPerSecond, .warmUpOverage = overage, .warmUpSlack = slack });
    if (row.statement == Statement::Entry) {
        cluster.waitForRevision(cluster.publishEndpoint(0, "ready", warmUpMs));
    } else {
        cluster.setMode(0, "warmup_ms=" + std::to_string(warmUpMs));
    }
    const auto before = cluster.received(0);
    const Crowd crowd(cluster);
    const auto bound = static_cast<std::size_t>(std::floor(coldPerSecond * overage + slack));
    const auto busiest = cluster.busiestSecond(0);
    cr_expect_leq(busiest, bound, "%s: %zu requests in a second, limit %zu", row.name, busiest, bound);
    cr_expect_gt(cluster.received(0), before, "%s: no work", row.name);
    cr_expect_gt(crowd.served.load(), std::size_t { 0 }, "%s", row.name);
    cr_expect_eq(crowd.others.load(), std::size_t { 0 }, "%s: %zu other answers, such as %u", row.name,
        crowd.others.load(), crowd.lastOther.load());
    cr_log_info("%s: %zu requests in a second, limit %zu; %zu served, %zu refused", row.name, busiest, bound,
        crowd.served.load(), crowd.refused.load());
}

struct ArrivalRow {
    const char* name;
    bool isFirstReadAtOnce; // Otherwise while the endpoint is stopped, like the second one.
    unsigned pauseMs; // Between the two.
    std::size_t busiestSecond;
};

const ArrivalRow arrivalRows[] = {
    { "a second apart, read together", false, 1200, 1 },
    { "together, read together", false, 0, 2 },
    { "together, read a second apart", true, 100, 2 },
};

// Guards against a stand-in that counts a request when it gets to read it: requests that arrived a second apart then
// count for one second, and those that arrived together for two.
ParameterizedTestParameters(WarmUp, countsByArrival) { return rowIndices(arrivalRows); }

ParameterizedTest(std::size_t* index, WarmUp, countsByArrival, .timeout = 30)
{
    const auto& row = arrivalRows[*index];
    RegistryCluster cluster(1, 0);
    const auto& endpoint = cluster.endpoint();
    const std::string request
        = "GET /lookups/1 HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Expected-Instance: " + endpoint.id + "\r\n\r\n";
    TestClient first(endpoint.address);
    TestClient second(endpoint.address);
    if (row.isFirstReadAtOnce) {
        first.send(request);
        cr_expect_eq(first.readResponse().status, 200u, "%s", row.name);
    }
    endpoint.process.signal(SIGSTOP);
    if (!row.isFirstReadAtOnce)
        first.send(request);
    ::usleep(row.pauseMs * 1000);
    second.send(request);
    ::usleep(1'200'000);
    endpoint.process.signal(SIGCONT);
    if (!row.isFirstReadAtOnce)
        cr_expect_eq(first.readResponse().status, 200u, "%s", row.name);
    cr_expect_eq(second.readResponse().status, 200u, "%s", row.name);
    cr_expect_eq(cluster.received(0), std::size_t { 2 }, "%s", row.name);
    const auto busiest = cluster.busiestSecond(0);
    cr_expect_eq(busiest, row.busiestSecond, "%s: %zu in a second", row.name, busiest);
}
