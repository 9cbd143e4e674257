#include "Cluster.h"
#include "EndlessServer.h"
#include "RegistryCluster.h"
#include "TableRows.h"

#include <atomic>
#include <chrono>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <functional>
#include <thread>
#include <utility>

using namespace dogwoodhall;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
// By design, a transfer holds its window and its buffers, whatever its size. 1 MB covers the two relay buffers of
// 16 KiB, the buffers of both parsers and the replay limit of 64 KiB, with room for the allocator's rounding.
constexpr std::size_t growthLimitKilobytes = 1024;
constexpr std::size_t partBytes = 256 * 1024;
// Of a caller that reads slowly. With a buffer below a few loopback segments (up to 64 KB each) the window that the
// kernel offers can stay smaller than a segment; the sender's kernel then sends one small segment every 200 ms.
constexpr int receiveBufferBytes = 256 * 1024;
constexpr std::chrono::milliseconds pauseAfterPart { 2 }; // 256 KB in 2 ms: slower than loopback and the upstream.

// Transfers of the same kinds, so that one-time allocations precede the measurement.
void warmUp(Cluster& cluster)
{
    call(cluster.caller(), { "GET", "/download?bytes=2000000", {}, {}, {} });
    call(cluster.caller(), { "POST", "/a", {}, std::string(2'000'000, 'b'), {} });
}

} // namespace

struct TransferRow {
    const char* name;
    std::size_t bytes;
    const char* query;
};

const TransferRow downloads[] = {
    { "declared length", 256 * mebibyte, "" },
    { "chunked", 256 * mebibyte, "&chunked=1" },
};

// Guards against a response body that accumulates in memory while its caller reads slowly: the upstream writes as fast
// as it can, and the caller starts to read only after backpressure has stopped the upstream.
ParameterizedTestParameters(Memory, slowDownloadIsBounded) { return rowIndices(downloads); }

ParameterizedTest(std::size_t* index, Memory, slowDownloadIsBounded, .timeout = 90)
{
    const auto& row = downloads[*index];
    auto cluster = Cluster::Builder().start();
    warmUp(cluster);
    const auto& process = cluster.daemon().process;
    const auto before = process.residentKilobytes();
    auto peak = before;
    TestClient client(cluster.caller(), receiveBufferBytes);
    const auto target = "/download?bytes=" + std::to_string(row.bytes) + row.query;
    client.send(TestRequest { "GET", target, {}, {}, "download" }.text());
    cr_assert(eventually([&] { return cluster.runs("download") == 1; }));
    std::size_t received = 0;
    while (received < row.bytes) {
        const auto part = client.readSome(partBytes);
        cr_assert_not(part.empty(), "%s: ended after %zu bytes", row.name, received);
        received += part.size();
        std::this_thread::sleep_for(pauseAfterPart);
        peak = std::max(peak, process.residentKilobytes());
        if (received < row.bytes / 2)
            cr_assert_eq(cluster.inUse(0), 1, "%s: no backpressure stopped the upstream", row.name);
    }
    cr_log_info("download, %s: %zu kB before, at most %zu kB\n", row.name, before, peak);
    cr_assert(peak <= before + growthLimitKilobytes, "%s: %zu kB, then %zu kB", row.name, before, peak);
}

const TransferRow uploads[] = {
    { "declared length", 32 * mebibyte, "" },
    { "declared length, upstream frozen at first", 32 * mebibyte, "SIGSTOP" },
};

// Guards against a request body that accumulates in memory while its upstream reads slowly.
ParameterizedTestParameters(Memory, uploadIsBounded) { return rowIndices(uploads); }

ParameterizedTest(std::size_t* index, Memory, uploadIsBounded, .timeout = 90)
{
    const auto& row = uploads[*index];
    auto cluster = Cluster::Builder().start();
    warmUp(cluster);
    const auto& process = cluster.daemon().process;
    const auto before = process.residentKilobytes();
    auto peak = before;
    const bool freezes = *row.query != '\0';
    if (freezes)
        cluster.upstream().process.signal(SIGSTOP);
    TestClient client(cluster.caller());
    client.send("POST /a HTTP/1.1\r\nHost: test\r\nX-Request-Id: upload\r\nContent-Length: " + std::to_string(row.bytes)
        + "\r\n\r\n");
    const std::string part(partBytes, 'b');
    for (std::size_t sent = 0; sent < row.bytes; sent += part.size()) {
        // More than the sockets on the way hold, and less than blocks this thread forever.
        if (freezes && sent == 2 * partBytes) {
            peak = std::max(peak, process.residentKilobytes());
            cluster.upstream().process.signal(SIGCONT);
        }
        cr_assert(client.send(part), "%s: refused after %zu bytes", row.name, sent);
        peak = std::max(peak, process.residentKilobytes());
    }
    const auto response = client.readResponse();
    cr_assert_eq(response.body, "u0 received " + std::to_string(row.bytes) + " bytes\n", "%s", row.name);
    cr_log_info("upload, %s: %zu kB before, at most %zu kB\n", row.name, before, peak);
    cr_assert(peak <= before + growthLimitKilobytes, "%s: %zu kB, then %zu kB", row.name, before, peak);
}

struct EndlessRow {
    const char* name;
    const char* start;
    const char* piece;
};

#define CHUNKED "HTTP/1.1 200 OK\r\nDogwoodhall-Attempt-Id: endless\r\nTransfer-Encoding: chunked\r\n\r\n"

const EndlessRow endlessRows[] = {
    { "header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n" },
    { "header fields at the ends of reads", "HTTP/1.1 200 OK\r\nServer: abcd\r\nX", "-Field: value\r\nX" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "chunk extension", CHUNKED "5;", "extension" },
    { "trailers", CHUNKED "5\r\nhello\r\n0\r\n", "X-Field: value\r\n" },
    { "body", "HTTP/1.1 200 OK\r\nDogwoodhall-Attempt-Id: endless\r\n\r\n", "no answer " },
    { "bytes that are no answer", "", "no answer " },
};

constexpr const char* healthAnswer = "HTTP/1.1 200 OK\r\nDogwoodhall-Instance-Id: i-endless\r\n"
                                     "Dogwoodhall-Backend-Load: 0,0,3\r\nContent-Length: 0\r\n\r\n";

// Sends idempotent requests one after another until it is destroyed, and counts those that are not served.
class OtherCaller {
public:
    explicit OtherCaller(std::function<Response()> request)
        : m_thread([this, request = std::move(request)] {
            while (!m_isStopping) {
                m_failed += request().status == 200 ? 0 : 1;
                ++m_answered;
            }
        })
    {
    }
    ~OtherCaller() { stop(); }

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    std::size_t answered() const { return m_answered; }
    // Waits until this many more requests have been answered.
    bool awaitAnswers(std::size_t count) const
    {
        const std::size_t before = m_answered;
        return eventually([&] { return m_answered >= before + count; });
    }
    std::size_t failed() const { return m_failed; }

private:
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::size_t> m_answered = 0;
    std::atomic<std::size_t> m_failed = 0;
    std::thread m_thread;
};

// Guards against an endpoint whose answer never ends: it filled the memory of the process, and with the process all of
// its requests were lost.
ParameterizedTestParameters(Memory, endlessAnswerIsBounded) { return rowIndices(endlessRows); }

ParameterizedTest(std::size_t* index, Memory, endlessAnswerIsBounded, .timeout = 90)
{
    const auto& row = endlessRows[*index];
    // Outlives the daemon, whose kept connections its threads read.
    EndlessServer endless(row.start, row.piece, healthAnswer);
    RegistryCluster cluster(1);
    const auto& process = cluster.daemon().process;
    const auto before = process.residentKilobytes();
    // Busy, so that the endless endpoint is preferred.
    cluster.setMode(0, "running=2");
    cluster.publishAddress("i-endless", { IpAddress::loopback(), endless.port() });
    unsigned status = 200;
    const auto isEndlessChosen = [&] {
        status = cluster.request("POST", "/orders/1", "endless").status;
        return status != 200;
    };
    cr_assert(eventually(isEndlessChosen), "%s: the endpoint is not chosen", row.name);
    cr_expect(status == 502 || status == 504, "%s: status %u", row.name, status);
    cr_expect(eventually([&] { return endless.answers() > 0; }), "%s: read after the answer failed", row.name);
    const auto after = process.residentKilobytes();
    cr_log_info("%s: %zu kB before, %zu kB after\n", row.name, before, after);
    cr_assert(after <= before + growthLimitKilobytes, "%s: %zu kB, then %zu kB", row.name, before, after);
    cr_expect_eq(cluster.request("GET", "/lookups/1", "other").status, 200, "%s", row.name);
}

// Guards against the requests of other callers that fail or wait while an endpoint's answer never ends. Their requests
// reach that endpoint too, so that two answers without an end are read at the same time.
ParameterizedTestParameters(Memory, endlessAnswerLeavesOtherCallersAlone) { return rowIndices(endlessRows); }

ParameterizedTest(std::size_t* index, Memory, endlessAnswerLeavesOtherCallersAlone, .timeout = 90)
{
    constexpr std::size_t answersAtOnce = 2;
    constexpr int requests = 10;
    const auto& row = endlessRows[*index];
    EndlessServer endless(row.start, row.piece, healthAnswer);
    RegistryCluster cluster(1);
    const auto& process = cluster.daemon().process;
    const auto before = process.residentKilobytes();
    cluster.setMode(0, "running=1");
    cluster.publishAddress("i-endless", { IpAddress::loopback(), endless.port() });
    OtherCaller other([&] { return cluster.request("GET", "/lookups/1", "other"); });
    cr_assert(other.awaitAnswers(1), "%s", row.name);
    cr_expect(eventually([&] { return endless.answers() > 0; }), "%s: the endpoint is not asked", row.name);
    for (int n = 0; n < requests; ++n) {
        const auto response = cluster.request("POST", "/orders/1", "endless");
        const bool isAnswered = response.status == 200 || response.status == 502 || response.status == 504;
        cr_expect(response.isComplete && isAnswered, "%s: status %u", row.name, response.status);
    }
    cr_expect(other.awaitAnswers(2), "%s: other callers wait", row.name);
    other.stop();
    const auto after = process.residentKilobytes();
    cr_log_info(
        "%s: %zu answers to other callers, %zu kB before, %zu kB after\n", row.name, other.answered(), before, after);
    cr_expect(
        other.failed() == 0, "%s: %zu of %zu requests of others failed", row.name, other.failed(), other.answered());
    cr_assert(
        after <= before + answersAtOnce * growthLimitKilobytes, "%s: %zu kB, then %zu kB", row.name, before, after);
}

const EndlessRow endlessAtHomeRows[] = {
    { "header fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n" },
    { "header fields at the ends of reads", "HTTP/1.1 200 OK\r\nServer: abcd\r\nX", "-Field: value\r\nX" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "chunk extension", CHUNKED "5;", "extension" },
    { "trailers", CHUNKED "5\r\nhello\r\n0\r\n", "X-Field: value\r\n" },
    { "bytes that are no answer", "", "no answer " },
};

// Guards against the same where requests are placed by the homes of their pools.
ParameterizedTestParameters(Memory, endlessAnswerToAHomeIsBounded) { return rowIndices(endlessAtHomeRows); }

ParameterizedTest(std::size_t* index, Memory, endlessAnswerToAHomeIsBounded, .timeout = 90)
{
    const auto& row = endlessAtHomeRows[*index];
    EndlessServer endless(row.start, row.piece, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    auto cluster = Cluster::Builder().start();
    auto record = cluster.recordOf("endless", 0, 2);
    const auto address = toString(cluster.upstream().address);
    record.replace(record.find(address), address.size(), "127.0.0.1:" + std::to_string(endless.port()));
    cluster.publishRecord("endless", record);
    const auto requestEndless = [&] {
        return call(cluster.caller(), { "POST", "/endless/" + cluster.upstream().name, {}, {}, "endless" });
    };
    warmUp(cluster);
    const auto& process = cluster.daemon().process;
    const auto before = process.residentKilobytes();
    OtherCaller other([&] { return call(cluster.caller(), { "GET", "/other", {}, {}, {} }); });
    cr_assert(other.awaitAnswers(1), "%s", row.name);
    Response response;
    const auto isEndlessAsked = [&] {
        response = requestEndless();
        return endless.answers() > 0;
    };
    cr_assert(eventually(isEndlessAsked), "%s: the endpoint is not asked", row.name);
    cr_expect(response.status == 502 || response.status == 504 || !response.isComplete, "%s: status %u", row.name,
        response.status);
    cr_expect(other.awaitAnswers(2), "%s: other callers wait", row.name);
    other.stop();
    const auto after = process.residentKilobytes();
    cr_log_info(
        "%s: %zu answers to other callers, %zu kB before, %zu kB after\n", row.name, other.answered(), before, after);
    cr_expect(
        other.failed() == 0, "%s: %zu of %zu requests of others failed", row.name, other.failed(), other.answered());
    cr_assert(after <= before + growthLimitKilobytes, "%s: %zu kB, then %zu kB", row.name, before, after);
}
