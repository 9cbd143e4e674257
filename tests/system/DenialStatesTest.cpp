#include "RegistryCluster.h"
#include "TableRows.h"

#include <algorithm>
#include <chrono>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <functional>
#include <iterator>
#include <memory>
#include <string>

using namespace dogwoodhall;

namespace {

using Bounds = RegistryCluster::CallerBounds;

constexpr std::chrono::milliseconds maxAge { 2000 };
constexpr useconds_t maxAgeMicroseconds = maxAge / std::chrono::microseconds(1);
constexpr useconds_t firstReadPause = 2'500'000; // After the first read of the records.
constexpr useconds_t confirmationTime = 1'000'000; // Longer than the time between two reads that confirm the records.
constexpr useconds_t margin = 500'000;
constexpr unsigned longDrainGraceMs = 20'000; // Longer than all requests of a row take.
constexpr std::size_t chunkBytes = 10'000;
constexpr Bounds lowBounds { 16 * 1024, 40'000 };
constexpr Bounds highBounds { 64 * 1024, 128ULL * 1024 * 1024 };

RegistryCluster::Options withBounds(const Bounds& bounds, unsigned drainGraceMs)
{
    RegistryCluster::Options options;
    options.drainGraceMs = drainGraceMs;
    options.stopGraceMs = 2 * longDrainGraceMs;
    options.maxConfigurationAgeMs = static_cast<unsigned>(maxAge.count());
    options.callerBounds = bounds;
    return options;
}

std::string head(const std::string& method, const std::string& path, const std::string& fields)
{
    static int count = 0;
    return method + " " + path + " HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: proper-" + std::to_string(++count)
        + "\r\nDogwoodhall-Deadline-Ms: 2000\r\n" + fields + "\r\n";
}

std::string smallHead() { return head("GET", "/lookups/1", ""); }

std::string bigHead() { return head("GET", "/lookups/1", "X-Fill: " + std::string(40'000, 'f') + "\r\n"); }

std::string manyFields()
{
    std::string fields;
    for (int n = 0; n < 3000; ++n)
        fields += "a: b\r\n";
    return head("GET", "/lookups/1", fields);
}

// Only the head: the body would be read only if it is allowed.
std::string announcedBody() { return head("POST", "/orders/1", "Content-Length: 70000000\r\n"); }

std::string chunkedBody(int chunks)
{
    auto text = head("POST", "/lookups/1", "Transfer-Encoding: chunked\r\n");
    for (int n = 0; n < chunks; ++n)
        text += "2710\r\n" + std::string(chunkBytes, 'c') + "\r\n";
    return text + "0\r\n\r\n";
}

struct ProperRequest {
    const char* name;
    std::string (*text)();
    int answers; // The last one is judged.
    unsigned denial; // By lowBounds.
};

// Within highBounds, and all but the first beyond lowBounds and the defaults of the settings, or lowBounds alone.
const ProperRequest properRequests[] = {
    { "small head", smallHead, 1, 0 },
    { "head of 40 KB", bigHead, 1, 431 },
    { "head of 3,000 fields", manyFields, 1, 431 },
    { "announced body of 70 MB", announcedBody, 1, 413 },
    { "chunked body of 50 KB", [] { return chunkedBody(5); }, 1, 413 },
    { "head of 40 KB behind another request", [] { return smallHead() + bigHead(); }, 2, 431 },
};

// As the platform counts: an answer of the member's own that ends the request for good.
bool isDenial(unsigned status)
{
    const unsigned excepted[] = { 408, 421, 429 };
    return status >= 300 && status < 500
        && std::find(std::begin(excepted), std::end(excepted), status) == std::end(excepted);
}

enum class Expected {
    Denied, // What lowBounds forbid.
    NotReady, // What a member may not judge is not run, and served by another one.
    NotDenied,
};

struct State {
    RegistryCluster cluster;
    std::function<void()> sent = [] {}; // Called when a request has been sent.

    State(const Bounds& bounds, std::size_t daemons, unsigned drainGraceMs = 500)
        : cluster(1, daemons, withBounds(bounds, drainGraceMs))
    {
        ::usleep(firstReadPause);
    }
};

std::unique_ptr<State> withoutConfiguration()
{
    auto state = std::make_unique<State>(highBounds, 0);
    state->cluster.setRegistryMode("down");
    state->cluster.startDaemon();
    return state;
}

std::unique_ptr<State> confirmed() { return std::make_unique<State>(lowBounds, 1); }

std::unique_ptr<State> withOldConfiguration(const char* registryMode, bool areRaised)
{
    auto state = confirmed();
    state->cluster.setRegistryMode(registryMode);
    ::usleep(confirmationTime);
    if (areRaised)
        state->cluster.publishBounds(2, highBounds);
    ::usleep(maxAgeMicroseconds + margin);
    return state;
}

std::unique_ptr<State> stopping()
{
    auto state = std::make_unique<State>(highBounds, 1, longDrainGraceMs);
    state->cluster.daemon().process.signal(SIGTERM);
    ::usleep(margin);
    return state;
}

std::unique_ptr<State> paused()
{
    auto state = confirmed();
    auto& cluster = state->cluster;
    cluster.daemon().process.signal(SIGSTOP);
    cluster.publishBounds(2, highBounds);
    ::usleep(maxAgeMicroseconds + margin);
    state->sent = [&cluster] {
        ::usleep(margin);
        cluster.daemon().process.signal(SIGCONT);
    };
    return state;
}

} // namespace

struct StateRow {
    const char* name;
    std::unique_ptr<State> (*enter)();
    Expected expected;
    bool isForEachRequest; // The first request ends the state.
};

const StateRow stateRows[] = {
    { "no configuration", withoutConfiguration, Expected::NotReady, false },
    { "configuration older than its lease", [] { return withOldConfiguration("down", false); }, Expected::NotReady,
        false },
    { "limits raised unheard, store down", [] { return withOldConfiguration("down", true); }, Expected::NotReady,
        false },
    { "limits raised unheard, store silent", [] { return withOldConfiguration("silent", true); }, Expected::NotReady,
        false },
    { "confirmed configuration", confirmed, Expected::Denied, false },
    { "stopping", stopping, Expected::NotDenied, false },
    { "paused", paused, Expected::NotDenied, true },
};

namespace {

Response send(State& state, const ProperRequest& request)
{
    TestClient client(state.cluster.daemon().caller);
    client.send(request.text());
    state.sent();
    Response response;
    // A connection that the member closes does not serve what was sent behind the answer.
    for (int n = 0; n < request.answers && !response.closesConnection; ++n)
        response = client.readResponse();
    return response;
}

void expectAnswer(const StateRow& row, const ProperRequest& request, const Response& response)
{
    const auto status = response.status;
    if (row.expected == Expected::Denied && request.denial != 0) {
        cr_expect_eq(status, request.denial, "%s, %s: %u", row.name, request.name, status);
        return;
    }
    cr_expect(status != 0 && !isDenial(status), "%s, %s: %u", row.name, request.name, status);
    if (row.expected != Expected::NotReady || request.denial == 0)
        return;
    cr_expect_eq(status, 503, "%s, %s: %u", row.name, request.name, status);
    cr_expect_eq(response.field("Dogwoodhall-Outcome"), "not-run", "%s, %s", row.name, request.name);
    cr_expect_not(response.field("Retry-After").empty(), "%s, %s: no time to come back", row.name, request.name);
}

} // namespace

// Guards against a request denied for good by limits that are not the operator's, those of the settings or of an older
// configuration: its caller does not repeat it, although another member would serve it.
ParameterizedTestParameters(DenialStates, deniesOnlyByConfirmedLimits) { return rowIndices(stateRows); }

ParameterizedTest(std::size_t* index, DenialStates, deniesOnlyByConfirmedLimits, .timeout = 120)
{
    const auto& row = stateRows[*index];
    auto state = row.enter();
    for (const auto& request : properRequests) {
        expectAnswer(row, request, send(*state, request));
        if (row.isForEachRequest && &request != std::end(properRequests) - 1)
            state = row.enter();
    }
}

struct PassedOnRow {
    const char* name;
    std::unique_ptr<State> (*enter)();
    unsigned status;
};

// The first 64 KB of the body are read before the request is passed on.
constexpr Bounds streamedBounds { 16 * 1024, 100'000 };

const PassedOnRow passedOnRows[] = {
    { "confirmed configuration", [] { return std::make_unique<State>(streamedBounds, 1); }, 413 },
    { "configuration older than its lease",
        [] {
            auto state = std::make_unique<State>(streamedBounds, 1);
            state->cluster.setRegistryMode("down");
            ::usleep(confirmationTime + maxAgeMicroseconds + margin);
            return state;
        },
        504 },
};

namespace {

constexpr int bodies = 5;
// A failed request takes a fifth from the chance that the member gives its endpoint.
constexpr double maxChanceLost = 0.1;

} // namespace

// Guards against a promise that a request has not run, a part of whose body has been passed on before it exceeded a
// limit, and against an endpoint that is taken for broken for it.
ParameterizedTestParameters(DenialStates, promisesNothingForABodyPassedOn) { return rowIndices(passedOnRows); }

ParameterizedTest(std::size_t* index, DenialStates, promisesNothingForABodyPassedOn, .timeout = 60)
{
    const auto& row = passedOnRows[*index];
    auto state = row.enter();
    const double before = state->cluster.chance("/lookups/1");
    const ProperRequest request { "", [] { return chunkedBody(15); }, 1, 0 };
    for (int n = 0; n < bodies; ++n) {
        const auto response = send(*state, request);
        cr_expect_eq(response.status, row.status, "%s: %u", row.name, response.status);
        cr_expect_eq(response.field("Dogwoodhall-Outcome"), "unknown", "%s", row.name);
    }
    const double after = state->cluster.chance("/lookups/1");
    cr_expect_gt(after, before - maxChanceLost, "%s: chance %g, then %g", row.name, before, after);
    cr_expect_eq(state->cluster.request("GET", "/lookups/1", "after").status, 200, "%s: the next request", row.name);
}
