#include "Cluster.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>

using namespace dogwoodhall;

namespace {

constexpr std::size_t downloadBytes = 8 * 1024 * 1024;

} // namespace

struct GracefulRow {
    const char* name;
    std::string target;
    std::size_t bytes; // Of the response's body; 0: not checked.
    const char* stop; // "SIGTERM", "SIGINT" or the operators' "/drain".
    bool isRepeated; // The stop is requested twice.
    bool isBodySentLate; // The last part of the request's body is sent after the stop.
    std::size_t bodyBytes = 1000;
};

const std::string download = "/download?pause_ms=2&bytes=" + std::to_string(downloadBytes);

const GracefulRow gracefulRows[] = {
    { "slow download", download, downloadBytes, "SIGTERM", false, false },
    { "slow chunked download", download + "&chunked=1", downloadBytes, "SIGTERM", false, false },
    { "slow download, second SIGTERM", download, downloadBytes, "SIGTERM", true, false },
    { "slow request", "/a?delay_ms=1500", 0, "SIGTERM", false, false },
    { "slow request, second SIGTERM", "/a?delay_ms=1500", 0, "SIGTERM", true, false },
    { "slow request, SIGINT", "/a?delay_ms=1500", 0, "SIGINT", false, false },
    { "slow request, /drain", "/a?delay_ms=1500", 0, "/drain", true, false },
    { "small upload under way", "/a", 0, "SIGTERM", false, true },
    { "upload under way", "/a", 0, "SIGTERM", false, true, 200'000 },
};

void requestStop(Cluster& cluster, const std::string& how)
{
    if (how.starts_with("/"))
        cr_assert_eq(call(cluster.daemon().admin, { "POST", how, {}, {}, {} }).status, 202);
    else
        cluster.daemon().process.signal(how == "SIGINT" ? SIGINT : SIGTERM);
}

bool isRunning(Cluster& cluster)
{
    const auto status = call(cluster.daemon().admin, { "GET", "/status", {}, {}, {} });
    return status.body.find("\"requestsRunning\":1") != std::string::npos;
}

// Guards against a planned stop that interrupts a request in flight, accepts new work, or ends with a failure status.
ParameterizedTestParameters(Stop, interruptsNothing) { return rowIndices(gracefulRows); }

ParameterizedTest(std::size_t* index, Stop, interruptsNothing, .timeout = 90)
{
    const auto& row = gracefulRows[*index];
    auto cluster = Cluster::Builder().start();
    TestClient idle(cluster.caller());
    TestClient client(cluster.caller(), 16 * 1024);
    const auto text = TestRequest { "POST", row.target, {}, std::string(row.bodyBytes, 'b'), "last" }.text();
    client.send(text.substr(0, text.size() - 500));
    if (!row.isBodySentLate)
        client.send(text.substr(text.size() - 500));
    // A small body is buffered in full before the request is sent to an upstream.
    const bool isBuffered = row.isBodySentLate && row.bodyBytes < 64 * 1024;
    cr_assert(eventually([&] { return isBuffered ? isRunning(cluster) : cluster.received(0) == 1; }));
    requestStop(cluster, row.stop);
    cr_assert(eventually([&] { return !TestClient::canConnect(cluster.caller()); }), "%s", row.name);
    cr_assert(idle.isAtEnd(), "%s: an idle connection stays open", row.name);
    if (row.isRepeated)
        requestStop(cluster, row.stop);
    cr_assert(cluster.daemon().process.isRunning(), "%s", row.name);
    if (row.isBodySentLate)
        client.send(text.substr(text.size() - 500));
    const auto response = client.readResponse();
    cr_assert(response.isComplete && response.status == 200, "%s: status %u", row.name, response.status);
    cr_assert(row.bytes == 0 || response.body.size() == row.bytes, "%s: %zu bytes", row.name, response.body.size());
    const auto status = cluster.daemon().process.waitForExit();
    cr_assert(status && *status == 0, "%s: exit status %d", row.name, status.value_or(-1));
    cr_assert_eq(cluster.runs("last"), 1, "%s", row.name);
}

struct ForcedRow {
    const char* name;
    std::string target; // Of a request in flight; empty for none.
    bool isDraining;
};

const ForcedRow forcedRows[] = {
    { "nothing in flight", "", false },
    { "slow request", "/a?delay_ms=20000", false },
    { "slow download", download + "&pause_ms=100", false },
    { "slow request while draining", "/a?delay_ms=20000", true },
};

// Guards against a forced stop that waits, that crashes, or whose exit status hides that requests were aborted.
ParameterizedTestParameters(Stop, forcedStopAbortsRequests) { return rowIndices(forcedRows); }

ParameterizedTest(std::size_t* index, Stop, forcedStopAbortsRequests, .timeout = 60)
{
    const auto& row = forcedRows[*index];
    auto cluster = Cluster::Builder().start();
    TestClient client(cluster.caller());
    if (!row.target.empty()) {
        client.send(TestRequest { "GET", row.target, {}, {}, "cut" }.text());
        cr_assert(eventually([&] { return cluster.runs("cut") == 1; }));
    }
    if (row.isDraining)
        requestStop(cluster, "SIGTERM");
    cr_assert_eq(call(cluster.daemon().admin, { "POST", "/stop-now", {}, {}, {} }).status, 202, "%s", row.name);
    const auto status = cluster.daemon().process.waitForExit();
    cr_assert(status && *status == 3, "%s: exit status %d", row.name, status.value_or(-1));
    cr_assert_not(client.readResponse().isComplete, "%s", row.name);
}
