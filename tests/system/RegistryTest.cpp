#include "MemberStatus.h"
#include "RegistryCluster.h"
#include "TableRows.h"

#include <atomic>
#include <chrono>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace dogwoodhall;

namespace {

// Less busy than the other one, so that it is chosen first.
constexpr std::size_t faultyEndpoint = 0;

} // namespace

struct FaultRow {
    const char* fault;
    bool isIdempotent;
    unsigned status;
    std::size_t maxRuns;
};

const FaultRow faultRows[] = {
    { "refuse", true, 200, 1 },
    { "refuse", false, 200, 1 },
    { "misdirected", true, 200, 1 },
    { "misdirected", false, 200, 1 },
    { "cut", true, 200, 2 },
    { "cut", false, 502, 1 },
    { "cut-unrun", true, 200, 1 },
    { "cut-unrun", false, 502, 0 },
    { "truncate", true, 200, 2 },
    { "truncate", false, 502, 1 },
    { "other", true, 200, 2 },
    { "other", false, 502, 1 },
    { "unsigned", true, 200, 2 },
    { "unsigned", false, 502, 1 },
    { "error", true, 200, 2 },
    { "error", false, 500, 1 },
    { "unframed", true, 200, 1 },
    { "unframed", false, 200, 1 },
    { "extra", false, 200, 1 },
    { "hang", true, 200, 2 },
    { "hang", false, 504, 1 },
    { "none&status=0", true, 200, 2 },
    { "none&status=0", false, 502, 1 },
    { "none&status=101", false, 502, 1 },
    { "none&status=600", true, 200, 2 },
    { "none&status=600", false, 502, 1 },
    { "none&status=999&padding=200000", false, 502, 1 },
};

// Guards against a request that runs twice, a response that is truncated, belongs to another request or has a status
// that HTTP does not have, and a request that is reported as not run without proof.
ParameterizedTestParameters(Registry, survivesFaultyEndpoints) { return rowIndices(faultRows); }

ParameterizedTest(std::size_t* index, Registry, survivesFaultyEndpoints, .timeout = 60)
{
    const auto& row = faultRows[*index];
    RegistryCluster cluster(2);
    cluster.setMode(1, "running=1");
    cluster.setMode(faultyEndpoint, std::string("fault=") + row.fault);
    const std::string path = row.isIdempotent ? "/lookups/1" : "/orders/1";
    const auto response = cluster.request(row.isIdempotent ? "GET" : "POST", path, "first");
    cr_expect_eq(response.status, row.status, "%s: %u", row.fault, response.status);
    cr_expect(response.isComplete, "%s: incomplete response", row.fault);
    cr_expect(cluster.runs("first") <= row.maxRuns, "%s: %zu runs", row.fault, cluster.runs("first"));
    if (row.status == 200) {
        cr_expect_eq(response.field("Dogwoodhall-Response-Signature"), "signed-first", "%s", row.fault);
        cr_expect(response.body.ends_with(" served first\n"), "%s: %s", row.fault, response.body.c_str());
    }
    // Data that the faulty endpoint left on its connections must not reach a later caller.
    cluster.setMode(faultyEndpoint, "");
    for (int n = 0; n < 5; ++n) {
        const std::string id = "later-" + std::to_string(n);
        const auto later = cluster.request("POST", "/orders/1", id);
        cr_expect_eq(later.status, 200, "%s: later request got %u", row.fault, later.status);
        cr_expect(later.body.ends_with(" served " + id + "\n"), "%s: %s", row.fault, later.body.c_str());
        cr_expect_eq(cluster.runs(id), 1, "%s", row.fault);
    }
}

// Guards against a hedge that is given up because the probes before it are answered after their time-out of 12 ms: the
// caller of a request that hangs at its first endpoint then gets no answer.
Test(Registry, hedgesAfterLateProbes, .timeout = 60)
{
    constexpr int requests = 10; // One is enough to show it; on a busy machine an answer may come too late for a hedge.
    RegistryCluster cluster(2);
    cluster.setMode(1, "health_delay_ms=20");
    cluster.setMode(faultyEndpoint, "fault=hang");
    std::size_t served = 0;
    for (int n = 0; n < requests; ++n) {
        const auto id = "hung-" + std::to_string(n);
        const auto status = cluster.request("GET", "/lookups/1", id).status;
        served += status == 200 && cluster.runs(id) == 2;
    }
    cr_expect_gt(served, std::size_t { 0 });
    cr_log_info("%zu of %d were hedged", served, requests);
}

// Guards against the second copy of an answer, late on a connection that is in use again, that reaches the next caller.
Test(Registry, rejectsLateSecondAnswers, .timeout = 60)
{
    RegistryCluster cluster(1);
    cluster.setMode(0, "fault=late-extra");
    for (int n = 0; n < 10; ++n) {
        const auto id = "late-" + std::to_string(n);
        const auto response = cluster.request("POST", "/orders/1", id);
        const bool isOwn = response.status == 200 && response.body.ends_with(" served " + id + "\n");
        cr_expect(isOwn || response.status == 502, "%s: %u %s", id.c_str(), response.status, response.body.c_str());
        cr_expect_leq(cluster.runs(id), 1, "%s", id.c_str());
        ::usleep(n * 15'000); // The copy arrives before, during and after the next request.
    }
}

struct CopiedRefusalRow {
    const char* fault;
    std::size_t endpoints;
    bool mayServe; // Some requests are answered by the endpoint.
};

const CopiedRefusalRow copiedRefusalRows[] = {
    { "refuse-late-extra", 1, false },
    { "refuse-late-extra", 2, true },
    { "refuse-before", 1, true },
    { "refuse-before", 2, true },
    { "refuse-other", 1, false },
    { "refuse-other", 2, false },
};

// Guards against a refusal that an endpoint sends once more on a kept connection, or with the id of another request:
// callers were told "not run" for a request that ran, or it ran at a second endpoint.
ParameterizedTestParameters(Registry, takesNoRefusalOfAnotherRequest) { return rowIndices(copiedRefusalRows); }

ParameterizedTest(std::size_t* index, Registry, takesNoRefusalOfAnotherRequest, .timeout = 60)
{
    const auto& row = copiedRefusalRows[*index];
    constexpr int requests = 24;
    // The refusal comes again 100 ms after the first, so that it arrives before, during and after later requests.
    constexpr useconds_t pauseStep = 6'000;
    RegistryCluster cluster(row.endpoints);
    for (std::size_t n = 0; n < row.endpoints; ++n)
        cluster.setMode(n, std::string("delay_ms=30&fault=") + row.fault);
    int served = 0;
    std::vector<std::pair<std::string, unsigned>> answers;
    for (int n = 0; n < requests; ++n) {
        const auto id = "refused-" + std::to_string(n);
        const auto response = cluster.request("POST", "/orders/1", id);
        cr_expect(response.isComplete, "%s, %s", row.fault, id.c_str());
        answers.emplace_back(id, response.status);
        const bool isOwn = response.body.ends_with(" served " + id + "\n");
        cr_expect(response.status != 200 || isOwn, "%s, %s: %s", row.fault, id.c_str(), response.body.c_str());
        served += response.status == 200 ? 1 : 0;
        ::usleep(static_cast<useconds_t>(n) * pauseStep);
    }
    cr_expect(served == 0 || row.mayServe, "%s: %d served", row.fault, served);
    for (const auto& [id, status] : answers) {
        const auto runs = cluster.runs(id);
        const bool promisesNotRun = status == 503 || status == 429 || status == 421 || status == 408;
        cr_expect_leq(runs, promisesNotRun ? 0 : 1, "%s, %s: %u, %zu runs", row.fault, id.c_str(), status, runs);
    }
}

struct RefusalRow {
    const char* name;
    const char* mode; // Of all endpoints.
    const char* path;
    unsigned status;
    bool hasRetryAfter;
};

const RefusalRow refusalRows[] = {
    { "all full", "running=3", "/orders/1", 503, true },
    { "all refuse", "fault=refuse", "/orders/1", 503, true },
    { "no route", "", "/nowhere/1", 404, false },
};

// Guards against requests that wait although they cannot be served, and against refusing a request that has run.
ParameterizedTestParameters(Registry, refusesAtOnce) { return rowIndices(refusalRows); }

ParameterizedTest(std::size_t* index, Registry, refusesAtOnce, .timeout = 60)
{
    const auto& row = refusalRows[*index];
    RegistryCluster cluster(2);
    cluster.setMode(0, row.mode);
    cluster.setMode(1, row.mode);
    const auto response = cluster.request("POST", row.path, "refused");
    cr_expect_eq(response.status, row.status, "%s: %u", row.name, response.status);
    cr_expect_eq(!response.field("Retry-After").empty(), row.hasRetryAfter, "%s", row.name);
    cr_expect_eq(response.field("Dogwoodhall-Outcome"), "not-run", "%s", row.name);
    cr_expect_eq(cluster.runs("refused"), 0, "%s", row.name);
}

// Guards against hedges that are not sent but take probes from the budget: a response in time cancels the wait for the
// hedge.
Test(Registry, probesForEachRequestOfABurst, .timeout = 60)
{
    constexpr std::size_t endpoints = 2;
    constexpr std::size_t requests = 32; // Two probes each are within a burst of 5 s at 15 probes a second.
    RegistryCluster cluster(endpoints);
    const auto probes = [&] { return counterOf(cluster.daemon().admin, "dogwoodhall_load_asks_total"); };
    const auto before = probes();
    for (std::size_t n = 0; n < requests; ++n)
        cr_expect_eq(cluster.request("GET", "/lookups/1", "burst-" + std::to_string(n)).status, 200);
    const auto sent = probes() - before;
    cr_expect_eq(sent, requests * endpoints, "%llu probes", static_cast<unsigned long long>(sent));
}

// Guards against requests to endpoints that are draining or removed, and against members that miss changes after a
// compaction of the store's history or act on malformed values.
Test(Registry, followsTheStore, .timeout = 60)
{
    RegistryCluster cluster(2);
    const auto servedBy = [&](std::size_t endpoint) {
        const auto before = cluster.received(endpoint);
        for (int n = 0; n < 4; ++n)
            cluster.request("GET", "/lookups/1", "probe");
        return cluster.received(endpoint) > before;
    };
    cluster.publishEndpoint(0, "draining");
    cr_expect(eventually([&] { return !servedBy(0); }), "a draining endpoint gets requests");
    cluster.compactRegistry();
    cluster.publishEndpoint(0, "ready");
    cr_expect(eventually([&] { return servedBy(0); }), "a change after the compaction is missed");
    cluster.publishText("servers/i-1", "{\"address\":");
    cr_expect(eventually([&] { return !servedBy(1); }), "an endpoint with a malformed entry is used");
    cluster.publishRouting(2, "/finds/");
    cr_expect(eventually([&] { return cluster.request("GET", "/finds/1", "a").status == 200; }));
    cr_expect_eq(cluster.request("GET", "/lookups/1", "b").status, 404);
    cluster.publishRouting(1);
    cluster.publishText("op/config", "spoilt");
    cluster.removeEndpoint(0);
    cr_expect(eventually([&] { return cluster.request("GET", "/finds/1", "c").status == 503; }),
        "a removed endpoint is used, or an older or malformed configuration replaced the one in effect");
}

// Guards against an odd entry of another writer that ends a member, keeps it from following later changes, or receives
// requests: at start, by pages and by watch.
Test(Registry, followsTheStoreBesideOddItems, .timeout = 60)
{
    RegistryCluster cluster(2);
    const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
    const std::string members[] = { "\"revision\":2,\"lease\":0", "\"revision\":2,\"value\":null",
        "\"revision\":2,\"value\":7", "\"revision\":2,\"value\":" + deep, "\"revision\":2,\"value\":1e99999999999",
        "\"revision\":-1", "\"value\":\"e30=\"" };
    for (std::size_t n = 0; n < std::size(members); ++n) {
        const auto key = "servers/a-odd-" + std::to_string(n);
        cluster.publishRawItem(key, R"({"key":")" + key + "\"," + members[n] + "}");
    }
    cluster.publishRawItem("servers/a-unreadable", deep);
    const std::string texts[]
        = { R"({"address":"127.0.0.1:0","info":)", R"({"address":)" + deep + "}", "\xff\xfe", "" };
    for (std::size_t n = 0; n < std::size(texts); ++n)
        cluster.publishText("servers/a-text-" + std::to_string(n), texts[n]);
    const char* const addresses[] = { "999.0.0.1:80", "0.0.0.0:80", "127.0.0.1:0", "127.0.0.1:65536", "[:::::]:80" };
    for (std::size_t n = 0; n < std::size(addresses); ++n)
        cluster.publishText("servers/a-address-" + std::to_string(n),
            std::string(R"({"address":")") + addresses[n]
                + R"(","info":{"service":"catalogue","zone":"dc0","concurrency":3},"status":{"state":"ready"}})");
    const auto servedBy = [&](std::size_t endpoint, std::size_t daemon) {
        const auto before = cluster.received(endpoint);
        for (int n = 0; n < 4; ++n)
            cr_expect_eq(cluster.request("GET", "/lookups/1", "probe", daemon).status, 200);
        return cluster.received(endpoint) > before;
    };
    cluster.publishEndpoint(0, "draining");
    cr_expect(eventually([&] { return !servedBy(0, 0); }), "a later entry is not followed");
    cluster.startDaemon();
    const auto isReady = [&] { return call(cluster.daemon(1).admin, { "GET", "/ready", {}, {}, {} }).status == 200; };
    cr_assert(eventually(isReady), "a daemon does not start beside odd items");
    cr_expect_not(servedBy(0, 1));
    cr_expect(servedBy(1, 1));
    cluster.publishEndpoint(0, "ready");
    cr_expect(eventually([&] { return servedBy(0, 1); }), "a later entry is not followed after a start");
    cr_expect(eventually([&] { return servedBy(0, 0); }));
}

// Guards against a caller whose body arrives slowly and never ends: it got no answer, whatever its route's time limit.
Test(Registry, answersSlowSendersByTheTimeLimit, .timeout = 60)
{
    RegistryCluster cluster(1);
    TestClient slow(cluster.daemon().caller);
    slow.send("POST /orders/1 HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: slow\r\nContent-Length: 1000\r\n\r\n");
    // The route's time limit is 1 s; each part is sent well within the limit for a pause of the sender.
    constexpr int parts = 30;
    constexpr useconds_t partMicroseconds = 100'000;
    std::atomic<bool> isAnswered = false;
    std::thread sender([&] {
        for (int n = 0; n < parts && !isAnswered; ++n) {
            slow.send("b");
            ::usleep(partMicroseconds);
        }
    });
    const auto response = slow.readResponse();
    isAnswered = true;
    sender.join();
    cr_expect_eq(response.status, 408, "%u", response.status);
    cr_expect_eq(response.field("Dogwoodhall-Outcome"), "not-run");
    cr_expect(response.closesConnection);
    cr_expect_eq(cluster.runs("slow"), 0);
}

struct SilenceRow {
    const char* name;
    useconds_t beforeSilence; // From the last change before the silence to its start.
    useconds_t silence;
};

const SilenceRow silenceRows[] = {
    { "watch sent into a long silence", 50'000, 3'500'000 },
    { "watch sent into a short silence", 50'000, 400'000 },
    { "watch waiting before the silence", 600'000, 3'500'000 },
};

// Guards against members that go on waiting for the response to a watch which the store lost while it was silent: they
// kept the old configuration for up to 27 s.
ParameterizedTestParameters(Registry, followsAStoreThatWasSilent) { return rowIndices(silenceRows); }

ParameterizedTest(std::size_t* index, Registry, followsAStoreThatWasSilent, .timeout = 60)
{
    // From the end of the silence until the time limit for changes applies again, and that limit.
    constexpr useconds_t stableWindow = 3'000'000;
    constexpr std::chrono::seconds maxConfigurationDelay { 2 };
    const auto& row = silenceRows[*index];
    RegistryCluster cluster(1, 2);
    ::usleep(2'500'000); // The pause after the first read.
    cluster.publishRouting(2);
    ::usleep(row.beforeSilence);
    cluster.setRegistryMode("silent");
    ::usleep(row.silence);
    cluster.setRegistryMode("serving");
    ::usleep(stableWindow);
    cluster.publishRouting(3, "/finds/");
    const auto end = std::chrono::steady_clock::now() + maxConfigurationDelay;
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
        unsigned status = 0;
        while (status != 200 && std::chrono::steady_clock::now() < end)
            status = cluster.request("GET", "/finds/1", "found", daemon).status;
        cr_expect_eq(status, 200, "%s: daemon %zu answers %u", row.name, daemon, status);
    }
    const auto reads = cluster.registryReads();
    ::usleep(3'000'000);
    cr_expect_leq(
        cluster.registryReads() - reads, 2, "%s: %zu calls in a calm time", row.name, cluster.registryReads() - reads);
}

// Guards against a member that takes a lost watch for a store without changes because cheap reads are seconds old.
Test(Registry, followsAStoreWithStaleReads, .timeout = 60)
{
    constexpr std::chrono::seconds maxConfigurationDelay { 2 };
    RegistryCluster::Options options;
    options.maxConfigurationAgeMs = 2000;
    RegistryCluster cluster(1, 1, options);
    ::usleep(2'500'000); // The pause after the first read.
    cluster.publishRouting(2);
    ::usleep(50'000);
    cluster.setRegistryMode("silent"); // The watch that follows the change gets no response.
    ::usleep(400'000);
    cluster.setRegistryMode("serving");
    cluster.freezeSerializableReads();
    ::usleep(3'000'000);
    cluster.publishRouting(3, "/finds/");
    const auto end = std::chrono::steady_clock::now() + maxConfigurationDelay;
    unsigned status = 0;
    while (status != 200 && std::chrono::steady_clock::now() < end)
        status = cluster.request("GET", "/finds/1", "found").status;
    cr_expect_eq(status, 200, "%u", status);
}

// Guards against a process that, when it runs again, decides by a configuration which is older than changes may take to
// be in force.
Test(Registry, decidesByNoExpiredConfiguration, .timeout = 60)
{
    constexpr int attempts = 5;
    RegistryCluster::Options options;
    options.maxConfigurationAgeMs = 1000;
    RegistryCluster cluster(1, 1, options);
    ::usleep(2'500'000); // The pause after the first read.
    for (int n = 0; n < attempts; ++n) {
        const auto version = 2 + 2 * static_cast<unsigned>(n);
        cluster.publishRouting(version, "/lookups/");
        cr_assert(eventually([&] { return cluster.request("GET", "/lookups/1", "a").status == 200; }));
        // Shorter than what the process takes for a pause.
        ::kill(cluster.daemon().process.id(), SIGSTOP);
        cluster.publishRouting(version + 1, "/finds/");
        ::usleep(1'300'000);
        TestClient client(cluster.daemon().caller);
        client.send("GET /lookups/1 HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: late\r\n\r\n");
        ::usleep(50'000);
        ::kill(cluster.daemon().process.id(), SIGCONT);
        const auto status = client.readResponse().status;
        cr_expect(
            status == 503 || status == 404, "attempt %d: %u from a route that was removed 1.3 s before", n, status);
        cr_expect(eventually([&] { return cluster.request("GET", "/finds/1", "b").status == 200; }));
    }
}

struct SlowReadRow {
    const char* name;
    std::uint64_t bytesPerSecond; // Of the store's answers to the daemon.
};

// A routing document of 2,000 routes takes about 600,000 bytes.
const SlowReadRow slowReadRows[] = {
    { "the answer takes longer than a read may", 60'000 },
    { "the answer takes a little longer than a read may", 250'000 },
    { "the answer arrives in time", 2'000'000 },
};

// Guards against a member that takes a read which runs out of time, because the answer is large and its link small, for
// a store that answers nobody, and goes on deciding by the configuration that it has.
ParameterizedTestParameters(Registry, decidesByNoExpiredConfigurationWhileReadsAreSlow)
{
    return rowIndices(slowReadRows);
}

ParameterizedTest(std::size_t* index, Registry, decidesByNoExpiredConfigurationWhileReadsAreSlow, .timeout = 60)
{
    using Clock = std::chrono::steady_clock;
    const auto& row = slowReadRows[*index];
    constexpr std::chrono::milliseconds maxAge { 2000 };
    RegistryCluster::Options options;
    options.maxConfigurationAgeMs = static_cast<unsigned>(maxAge.count());
    options.unusedRoutes = 2000;
    RegistryCluster cluster(1, 1, options);
    ::usleep(2'500'000); // The pause after the first read.
    cr_assert(eventually([&] { return cluster.request("GET", "/lookups/1", "a").status == 200; }));
    cluster.paceRegistry(row.bytesPerSecond);
    cluster.publishRouting(2, "/finds/");
    const auto changedAt = Clock::now();
    for (auto sentAt = changedAt; sentAt < changedAt + std::chrono::seconds(8); sentAt = Clock::now()) {
        const auto status = cluster.request("GET", "/lookups/1", "late").status;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(sentAt - changedAt);
        cr_assert(status != 200 || age <= maxAge, "%s: served by a route that was removed %d ms before", row.name,
            static_cast<int>(age.count()));
        ::usleep(50'000);
    }
    cluster.paceRegistry(0);
    cr_expect(eventually([&] { return cluster.request("GET", "/finds/1", "b").status == 200; }), "%s", row.name);
}

// Guards against losing endpoints whose leases expire while the store is unavailable.
Test(Registry, keepsEndpointsThatLapseInAnOutage, .timeout = 60)
{
    RegistryCluster cluster(1);
    cluster.setRegistryMode("down");
    ::usleep(700'000);
    cluster.removeEndpoint(0);
    cluster.setRegistryMode("serving");
    const auto reads = cluster.registryReads();
    cr_assert(eventually([&] { return cluster.registryReads() > reads; }));
    cr_expect_eq(cluster.request("GET", "/lookups/1", "a").status, 200, "dropped after the outage");
    cr_expect(eventually([&] { return cluster.request("GET", "/lookups/1", "b").status == 503; }), "never removed");
}

struct EndOfGraceRow {
    const char* name;
    const char* method;
    const char* fault; // Of the endpoint.
    bool isSentBeforeStop; // Otherwise half a second after SIGTERM, on a connection that is open already.
    bool hasSecondSignal;
    std::size_t bodyBytesMissing; // Of the request; never sent.
    unsigned status;
    std::size_t maxRuns;
};

const EndOfGraceRow endOfGraceRows[] = {
    { "in flight", "POST", "hang", true, false, 0, 504, 1 },
    { "in flight, may be repeated", "GET", "hang", true, false, 0, 504, 1 },
    { "in flight, second SIGTERM", "POST", "hang", true, true, 0, 504, 1 },
    { "taken after SIGTERM", "POST", "hang", false, false, 0, 504, 1 },
    { "taken after SIGTERM, may be repeated", "GET", "hang", false, false, 0, 504, 1 },
    { "body half sent before SIGTERM", "POST", "", true, false, 100, 504, 0 },
    { "body half sent after SIGTERM", "POST", "", false, false, 100, 408, 0 },
    { "long body half sent", "POST", "", true, false, 100'000, 504, 1 },
};

// Guards against the end of a planned stop that closes the connections of requests which were taken, without an answer
// and before their time limit.
ParameterizedTestParameters(Registry, stopsWithAnAnswerToEachRequest) { return rowIndices(endOfGraceRows); }

ParameterizedTest(std::size_t* index, Registry, stopsWithAnAnswerToEachRequest, .timeout = 60)
{
    const auto& row = endOfGraceRows[*index];
    constexpr unsigned stopGraceMs = 2500;
    RegistryCluster cluster(1, 1, { .drainGraceMs = 1200, .stopGraceMs = stopGraceMs, .routeTimeoutMs = 10'000 });
    cluster.setMode(0, std::string("fault=") + row.fault);
    auto& daemon = cluster.daemon();
    TestClient client(daemon.caller);
    const std::size_t bodyBytes = row.bodyBytesMissing * 2;
    const auto request = std::string(row.method) + (*row.method == 'G' ? " /lookups/1" : " /orders/1")
        + " HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: last\r\nDogwoodhall-Deadline-Ms: 8000\r\n"
        + (bodyBytes > 0 ? "Content-Length: " + std::to_string(bodyBytes) + "\r\n" : "") + "\r\n"
        + std::string(bodyBytes - row.bodyBytesMissing, 'b');
    if (row.isSentBeforeStop) {
        client.send(request);
        cr_assert(row.bodyBytesMissing > 0 || eventually([&] { return cluster.runs("last") == 1; }), "%s", row.name);
        ::usleep(200'000);
    }
    const auto stoppedAt = std::chrono::steady_clock::now();
    daemon.process.signal(SIGTERM);
    ::usleep(500'000);
    if (!row.isSentBeforeStop)
        client.send(request);
    if (row.hasSecondSignal)
        daemon.process.signal(SIGTERM);
    const auto response = client.readResponse();
    const auto time = std::chrono::steady_clock::now() - stoppedAt;
    cr_expect_eq(response.status, row.status, "%s: status %u", row.name, response.status);
    cr_expect(response.isComplete, "%s: cut", row.name);
    cr_expect(response.closesConnection, "%s: the caller is not told that the connection ends", row.name);
    // The last sixth of the grace is for requests whose endpoints are still at work.
    const auto toMs = [](auto duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration); };
    cr_expect(row.bodyBytesMissing > 0 || toMs(time).count() >= stopGraceMs * 5 / 6, "%s: ended after %d ms", row.name,
        static_cast<int>(toMs(time).count()));
    cr_expect_leq(cluster.runs("last"), row.maxRuns, "%s: %zu runs", row.name, cluster.runs("last"));
    cr_expect(daemon.process.waitForExit().has_value(), "%s", row.name);
    cr_expect(std::chrono::steady_clock::now() - stoppedAt < std::chrono::milliseconds(stopGraceMs), "%s", row.name);
}

struct LateRow {
    const char* name;
    const char* method;
    unsigned timeLimitMs; // Of the request, which is complete 1.4 s after SIGTERM; the process ends before 2.5 s.
    bool isNewConnection;
    unsigned status;
    std::size_t runs;
};

const LateRow lateRows[] = {
    { "may not be repeated", "POST", 8000, false, 503, 0 },
    { "may be repeated", "GET", 8000, false, 503, 0 },
    { "new connection", "POST", 8000, true, 503, 0 },
    { "ends before the stop", "POST", 600, false, 200, 1 },
};

// Guards against requests that come late in the grace of a planned stop and are passed on although their endpoints may
// still be at work when the process ends: their callers could not know whether they had run.
ParameterizedTestParameters(Registry, passesOnNoRequestItCannotFinish) { return rowIndices(lateRows); }

ParameterizedTest(std::size_t* index, Registry, passesOnNoRequestItCannotFinish, .timeout = 60)
{
    const auto& row = lateRows[*index];
    RegistryCluster cluster(1, 1, { .drainGraceMs = 2000, .stopGraceMs = 2500, .routeTimeoutMs = 10'000 });
    cluster.setMode(0, row.timeLimitMs < 1000 ? "delay_ms=300" : "delay_ms=3000");
    auto& daemon = cluster.daemon();
    const auto request = std::string(row.method) + (*row.method == 'G' ? " /lookups/1" : " /orders/1")
        + " HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: late\r\nDogwoodhall-Deadline-Ms: "
        + std::to_string(row.timeLimitMs) + "\r\n\r\n";
    auto client = std::make_unique<TestClient>(daemon.caller);
    daemon.process.signal(SIGTERM);
    ::usleep(1'400'000);
    if (row.isNewConnection)
        client = std::make_unique<TestClient>(daemon.caller);
    client->send(request);
    const auto response = client->readResponse();
    cr_expect_eq(response.status, row.status, "%s: status %u", row.name, response.status);
    cr_expect(response.isComplete && response.closesConnection, "%s", row.name);
    if (row.runs == 0)
        cr_expect_eq(response.field("Dogwoodhall-Outcome"), "not-run", "%s", row.name);
    cr_expect(daemon.process.waitForExit().has_value(), "%s", row.name);
    cr_expect_eq(cluster.runs("late"), row.runs, "%s: %zu runs", row.name, cluster.runs("late"));
}

// Guards against a graceful stop or a reload that aborts a request.
Test(Registry, stopsAndReloadsWithoutLoss, .timeout = 60)
{
    RegistryCluster cluster(1);
    cluster.setMode(0, "delay_ms=400");
    auto& daemon = cluster.daemon();
    TestClient kept(daemon.caller);
    kept.send("POST /orders/1 HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: a\r\n\r\n");
    cr_assert(eventually([&] { return cluster.received(0) == 1; }));
    daemon.process.signal(SIGHUP);
    const auto first = kept.readResponse();
    cr_expect_eq(first.status, 200);
    cr_expect_not(first.closesConnection, "a reload closes connections");
    kept.send("POST /orders/1 HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: b\r\n\r\n");
    cr_assert(eventually([&] { return cluster.received(0) == 2; }));
    daemon.process.signal(SIGTERM);
    const auto second = kept.readResponse();
    cr_expect_eq(second.status, 200);
    cr_expect(second.closesConnection, "the caller is not told that the connection ends");
    cr_expect_eq(daemon.process.waitForExit().value_or(-1), 0);
}
