#include "MemberStatus.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <memory>

using namespace dogwoodhall;

namespace {

const std::string shortDeadline = "Dogwoodhall-Deadline-Ms: 400\r\n";

// A fault of u0; u1 stays healthy.
struct Fault {
    std::string mode; // PUT to u0 before the requests.
    int signal = 0; // Sent to u0 before the requests.
    std::string fields = {}; // Of each request.
    bool isResumed = false; // u0 gets SIGCONT after the requests, and then runs those that it received.
};

void applyFault(Cluster& cluster, const Fault& fault)
{
    if (!fault.mode.empty())
        cluster.setMode(0, fault.mode);
    if (!fault.signal)
        return;
    auto& process = cluster.upstream(0).process;
    process.signal(fault.signal);
    // Until a killed process has ended, the kernel still accepts connections for it.
    if (fault.signal == SIGKILL)
        process.waitForExit();
}

// Resumes a frozen upstream and waits until it has finished all requests that it received.
void resumeUpstream(Cluster& cluster, const Fault& fault)
{
    if (!fault.isResumed)
        return;
    cluster.upstream(0).process.signal(SIGCONT);
    cr_assert(eventually([&] {
        const auto health = call(cluster.upstream(0).address, { "GET", "/health", {}, {}, {} });
        return health.body.find("\"inUse\":0") != std::string::npos;
    }));
}

} // namespace

struct OutcomeRow {
    const char* name;
    Fault fault;
    bool idempotentSucceeds; // Every idempotent request gets 200, if necessary by a retry at u1.
    bool nonIdempotentSucceeds; // The same for requests that are not idempotent: the fault proves that nothing ran.
};

const OutcomeRow rows[] = {
    { "no fault", { "" }, true, true },
    { "refuses", { "refuse=1" }, true, true },
    { "connect refused", { "", SIGKILL }, true, true },
    { "killed before the run", { "fault=die-before" }, true, false },
    { "killed after the run", { "fault=die-after" }, true, false },
    { "connection cut before the run", { "fault=cut-before" }, true, false },
    { "connection cut after the run", { "fault=cut-after" }, true, false },
    { "frozen from the start", { "", SIGSTOP, shortDeadline, true }, false, false },
    { "frozen before the run", { "fault=freeze-before", 0, shortDeadline, true }, false, false },
    { "frozen after the run", { "fault=freeze-after", 0, shortDeadline, true }, false, false },
    { "slower than the deadline", { "delay_ms=1000", 0, shortDeadline }, false, false },
    { "refuses while draining", { "refuse=1&draining=1" }, true, true },
};

struct Sent {
    std::string id;
    Response response;
};

// Sends enough requests that u0 gets several of them unless it is dead; the pool may choose either upstream.
std::vector<Sent> sendAll(Cluster& cluster, const OutcomeRow& row, const std::string& method, std::size_t daemons)
{
    std::vector<Sent> sent;
    for (std::size_t n = 0; n < 12; ++n) {
        const auto id = method + "-" + std::to_string(n);
        const std::string body = method == "POST" ? "order" : "";
        const auto& caller = cluster.daemon(n % daemons).caller;
        sent.push_back({ id, call(caller, { method, "/a", row.fault.fields, body, id }) });
    }
    return sent;
}

void check(const Cluster& cluster, const OutcomeRow& row, bool isIdempotent, const Sent& sent)
{
    const auto& [id, response] = sent;
    const auto runs = cluster.runs(id);
    const auto outcome = response.field("Dogwoodhall-Outcome");
    const auto error = response.field("Dogwoodhall-Error");
    cr_assert(response.isComplete, "%s: %s got no complete response", row.name, id.c_str());
    cr_assert(response.status == 200 || !outcome.empty(), "%s: %s has no outcome", row.name, id.c_str());
    cr_assert(outcome != "not-run" || runs == 0, "%s: %s ran %zu times", row.name, id.c_str(), runs);
    cr_assert(response.status != 200 || runs >= 1, "%s: %s did not run", row.name, id.c_str());
    cr_assert(isIdempotent || runs <= 1, "%s: %s ran %zu times", row.name, id.c_str(), runs);
    if (isIdempotent ? row.idempotentSucceeds : row.nonIdempotentSucceeds)
        cr_assert_eq(
            response.status, 200, "%s: %s: status %u, %s", row.name, id.c_str(), response.status, error.c_str());
}

// Guards against a request that runs twice or is reported as not run although it ran, and against idempotent requests
// that fail although another upstream could have served them.
ParameterizedTestParameters(Outcome, holdsUnderFaults) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Outcome, holdsUnderFaults, .timeout = 120)
{
    const auto& row = rows[*index];
    // With two daemons, requests that arrive at one reach the pool through the other.
    for (const std::size_t daemons : { 1, 2 }) {
        for (const std::string method : { "GET", "POST" }) {
            auto cluster = Cluster::Builder().upstreams(2).daemons(daemons).start();
            applyFault(cluster, row.fault);
            const auto sent = sendAll(cluster, row, method, daemons);
            resumeUpstream(cluster, row.fault);
            for (const auto& one : sent)
                check(cluster, row, method == "GET", one);
        }
    }
}

struct SoleUpstreamRow {
    const char* name;
    Fault fault;
    const char* outcome;
    std::vector<const char*> errors;
};

const SoleUpstreamRow soleUpstreamRows[] = {
    { "refuses", { "refuse=1" }, "not-run", { "upstream-refused", "no-endpoint" } },
    { "connect refused", { "", SIGKILL }, "not-run", { "upstream-failed", "no-endpoint" } },
    { "killed before the run", { "fault=die-before" }, "unknown", { "upstream-failed" } },
    { "killed after the run", { "fault=die-after" }, "unknown", { "upstream-failed" } },
    { "connection cut before the run", { "fault=cut-before" }, "unknown", { "upstream-failed" } },
    { "connection cut after the run", { "fault=cut-after" }, "unknown", { "upstream-failed" } },
    { "slower than the deadline", { "delay_ms=1000", 0, shortDeadline }, "unknown", { "deadline-exceeded" } },
    { "frozen before the run", { "fault=freeze-before", 0, shortDeadline, true }, "unknown", { "deadline-exceeded" } },
};

// Guards against a wrong error kind or outcome if the only upstream fails.
ParameterizedTestParameters(Outcome, isReportedIfSoleUpstreamFails) { return rowIndices(soleUpstreamRows); }

ParameterizedTest(std::size_t* index, Outcome, isReportedIfSoleUpstreamFails, .timeout = 60)
{
    const auto& row = soleUpstreamRows[*index];
    auto cluster = Cluster::Builder().start();
    applyFault(cluster, row.fault);
    const auto response = call(cluster.caller(), { "POST", "/a", row.fault.fields, "order", "only" });
    resumeUpstream(cluster, row.fault);
    const auto outcome = response.field("Dogwoodhall-Outcome");
    const auto error = response.field("Dogwoodhall-Error");
    cr_assert_eq(outcome, row.outcome, "%s: %s, %s", row.name, error.c_str(), outcome.c_str());
    cr_assert(
        std::find(row.errors.begin(), row.errors.end(), error) != row.errors.end(), "%s: %s", row.name, error.c_str());
    cr_assert(cluster.runs("only") <= (outcome == "not-run" ? 0 : 1), "%s", row.name);
}

struct DisconnectRow {
    const char* name;
    TestRequest request;
    std::size_t sentBytes; // Of the request, before the caller disconnects.
    bool readsHead = false; // The response's head, before the caller disconnects.
};

const DisconnectRow disconnectRows[] = {
    { "before the response", { "GET", "/a?delay_ms=1000", {}, {}, "gone" }, 1000 },
    { "within the response", { "GET", "/a?bytes=200000&pause_ms=1000", {}, {}, "gone" }, 1000, true },
    { "within the request body", { "POST", "/a", {}, std::string(200'000, 'x'), "gone" }, 100'000 },
};

// Guards against endpoints that are ejected, and homes that are bypassed, because callers disconnect.
ParameterizedTestParameters(Outcome, disconnectsEjectNoEndpoint) { return rowIndices(disconnectRows); }

ParameterizedTest(std::size_t* index, Outcome, disconnectsEjectNoEndpoint, .timeout = 120)
{
    const auto& row = disconnectRows[*index];
    constexpr std::size_t callers = 24; // Far more than the consecutive failures that eject one of two endpoints.
    auto cluster = Cluster::Builder().upstreams(2).daemons(2).start();
    const auto received = [&] { return cluster.received(0) + cluster.received(1); };
    for (std::size_t n = 0; n < callers; ++n) {
        TestClient gone(cluster.daemon(n % 2).caller);
        gone.send(row.request.text().substr(0, row.sentBytes));
        cr_assert(eventually([&] { return received() == n + 1; }), "%s: %zu", row.name, received());
        if (row.readsHead)
            cr_assert_eq(gone.readResponse(true).status, 200);
        gone.abortConnection();
        cr_assert(eventually([&] { return cluster.inUse(0) + cluster.inUse(1) == 0; }), "%s", row.name);
    }
    const std::size_t before[] = { cluster.received(0), cluster.received(1) };
    std::vector<std::unique_ptr<TestClient>> last;
    for (std::size_t n = 0; n < 4; ++n) {
        last.push_back(std::make_unique<TestClient>(cluster.caller()));
        last.back()->send(TestRequest { "POST", "/a?delay_ms=500", {}, {}, {} }.text());
    }
    for (auto& client : last)
        cr_assert_eq(client->readResponse().status, 200, "%s", row.name);
    for (std::size_t n = 0; n < 2; ++n) {
        cr_assert_eq(cluster.received(n) - before[n], 2, "%s: upstream %zu did not get its share", row.name, n);
        const auto bypassed = counterOf(cluster.daemon(n), "dogwoodhall_bypassed_homes_total");
        cr_assert_eq(bypassed, 0, "%s: daemon %zu bypassed its home", row.name, n);
    }
}

struct SlowSenderRow {
    const char* name;
    std::size_t daemons; // With two, requests reach the pool with permits of its home.
    const char* fields; // Of the uploads.
    unsigned status;
};

const SlowSenderRow slowSenderRows[] = {
    { "at the home", 1, "", 200 },
    { "with permits", 2, "", 200 },
    { "later than the deadline", 1, "Dogwoodhall-Deadline-Ms: 700\r\n", 408 },
};

// Guards against short requests that wait while slow senders of large bodies hold the slots, and against counting slow
// senders as failures of the endpoint.
ParameterizedTestParameters(Outcome, slowSendersLeaveSlotsFree) { return rowIndices(slowSenderRows); }

ParameterizedTest(std::size_t* index, Outcome, slowSendersLeaveSlotsFree, .timeout = 120)
{
    const auto& row = slowSenderRows[*index];
    constexpr std::size_t senders = 6; // More than the endpoint's slots and the allowance together.
    constexpr std::size_t sentBytes = 100'000;
    auto cluster = Cluster::Builder().daemons(row.daemons).start();
    const auto home = row.daemons == 1 ? std::string() : waitForAgreedHome({ &cluster.daemon(0), &cluster.daemon(1) });
    const auto& entry = cluster.daemon(row.daemons == 2 && home == cluster.daemon(0).name ? 1 : 0);
    const auto upload = TestRequest { "POST", "/a", row.fields, std::string(200'000, 'x'), {} }.text();
    std::vector<std::unique_ptr<TestClient>> slow;
    for (std::size_t n = 0; n < senders; ++n) {
        slow.push_back(std::make_unique<TestClient>(entry.caller));
        slow.back()->send(upload.substr(0, sentBytes));
    }
    cr_assert(eventually([&] { return cluster.inUse(0) > 0; }), "%s: no upload reached the upstream", row.name);
    for (std::size_t n = 0; n < 10; ++n) {
        const auto response = call(entry.caller, { "POST", "/a", {}, "order", {} });
        cr_assert_eq(response.status, 200, "%s: short request got %u", row.name, response.status);
        // An upload, and the short request if the endpoint has not finished it yet.
        const auto inUse = cluster.inUse(0);
        cr_assert_leq(inUse, 2, "%s: %zu slots in use", row.name, inUse);
    }
    if (row.status != 200)
        ::usleep(800'000);
    for (auto& sender : slow)
        sender->send(std::string_view(upload).substr(sentBytes));
    std::size_t expected = 0;
    for (auto& sender : slow)
        expected += sender->readResponse().status == row.status ? 1 : 0;
    // Uploads that wait for a slot until the deadline are refused.
    cr_assert_eq(expected, row.status == 200 ? senders : 1, "%s: %zu got %u", row.name, expected, row.status);
}

struct QueuedRow {
    const char* name;
    const char* method;
};

const QueuedRow queuedRows[] = {
    { "idempotent", "GET" },
    { "not idempotent", "POST" },
};

// Guards against a run, or a late second run, of a request whose caller disconnected while it was queued.
ParameterizedTestParameters(Outcome, queuedRequestOfDisconnectedCallerIsNotRun) { return rowIndices(queuedRows); }

ParameterizedTest(std::size_t* index, Outcome, queuedRequestOfDisconnectedCallerIsNotRun, .timeout = 60)
{
    const auto& row = queuedRows[*index];
    auto cluster = Cluster::Builder().slots(1).start();
    // They fill the one slot and the allowance of one beyond it.
    TestClient first(cluster.caller());
    TestClient second(cluster.caller());
    first.send(TestRequest { "POST", "/a?delay_ms=800", {}, "order", "first" }.text());
    second.send(TestRequest { "POST", "/a?delay_ms=800", {}, "order", "second" }.text());
    cr_assert(eventually([&] { return cluster.received(0) >= 2; }));
    TestClient gone(cluster.caller());
    gone.send(TestRequest { row.method, "/a", {}, {}, "gone" }.text());
    gone.abortConnection();
    first.readResponse();
    second.readResponse();
    cr_assert_eq(call(cluster.caller(), { "POST", "/a", {}, "order", "last" }).status, 200);
    cr_assert_eq(cluster.runs("gone"), 0, "%s", row.name);
    cr_assert_eq(cluster.runs("last"), 1);
}
