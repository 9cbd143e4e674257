#include "Crowd.h"
#include "RegistryCluster.h"
#include "TableRows.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <string_view>

using namespace dogwoodhall;

namespace {

constexpr std::size_t crowdSize = 400;
// Over what the process held before the crowd came. The settings of the test allow callers 16 MB and 128 connections.
constexpr std::size_t growthLimitKilobytes = 24 * 1024;
constexpr std::size_t descriptorGrowthLimit = 300;
constexpr std::size_t wholePiece = 1024 * 1024;

#if defined(__SANITIZE_ADDRESS__)
// The resident memory of the process is then mostly the sanitizer's own.
constexpr bool measuresMemory = false;
#else
constexpr bool measuresMemory = true;
#endif

std::size_t openDescriptors(const Process& process)
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process.id()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t peakKilobytes(const Process& process)
{
    std::ifstream file("/proc/" + std::to_string(process.id()) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (file >> word) {
        if (word == "VmHWM:" && file >> kilobytes)
            return kilobytes;
    }
    throw std::runtime_error("no VmHWM of process " + std::to_string(process.id()));
}

} // namespace

struct CrowdRow {
    const char* name;
    const char* requestLine; // Without the path.
    const char* fields; // Header lines after Host and those of the protocol, and what follows them.
    const char* unit;
    std::size_t unitBytes;
    std::size_t pieceBytes;
    const char* tail = "";
    std::size_t answerPadding = 0; // Bytes that the endpoint adds to its answers.
};

const CrowdRow crowdRows[] = {
    { "body short of its end, in one piece", "POST", "Content-Length: 65000\r\n\r\n", "b", 64'990, wholePiece },
    { "body short of its end, in small pieces", "POST", "Content-Length: 65000\r\n\r\n", "b", 64'990, 997 },
    { "body in chunks, without the last", "POST", "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n", 0, wholePiece },
    { "body in small chunks", "POST", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", 140'000, 4096 },
    { "body over the limit", "POST", "Content-Length: 99000000000\r\n\r\n", "b", 400'000, wholePiece },
    { "chunks without end", "POST", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", 1'000'000, wholePiece },
    { "many short fields", "GET", "", "a:b\r\n", 13'000, wholePiece },
    { "many short fields, in small pieces", "GET", "", "a:b\r\n", 13'000, 500 },
    { "many short fields, half a body", "POST", "Content-Length: 65000\r\n", "a:b\r\n", 13'000, wholePiece,
        "\r\nhalf" },
    { "head that stops half-way", "GET", "X-Half: ", "h", 8'000, wholePiece },
    { "head in drops", "GET", "X-Half: ", "h", 60, 1 },
    { "body in drops", "POST", "Content-Length: 65000\r\n\r\n", "b", 60, 1 },
    { "no byte", "", "", "", 0, 1 },
    { "requests sent ahead, no answer read", "AHEAD", "", "", 250'000, wholePiece },
    { "large answers, not read", "AHEAD", "", "", 300, wholePiece, "", 600'000 },
};

struct DoorRow {
    const char* name;
    const char* path;
    bool isOperators;
};

const DoorRow doorRows[] = {
    { "route", "/orders/1", false },
    { "path without a route", "/nowhere/1", false },
    { "operators' port", "/ready", true },
};

namespace {

constexpr std::string_view proper
    = " HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: crowd\r\nDogwoodhall-Deadline-Ms: 20000\r\n";

Crowd::Text textOf(const CrowdRow& row, const DoorRow& door)
{
    const std::string_view line = row.requestLine;
    if (line.empty())
        return {};
    if (line == "AHEAD") {
        const std::string path = std::string_view(door.path) == "/orders/1" ? "/lookups/1" : door.path;
        return { "", "GET " + path + std::string(proper) + "\r\n", row.unitBytes };
    }
    const std::string head = row.requestLine + std::string(" ") + door.path + std::string(proper) + row.fields;
    if (row.unitBytes == 0) {
        // Whole chunks of 1,000 bytes; the last one, which would end the body, never comes.
        return { head, row.unit + std::string(1000, 'b') + "\r\n", 64 * 1007 };
    }
    return { head, row.unit, row.unitBytes, row.tail };
}

// How long the process took to serve an ordinary request and a readiness check, and the statuses that came last.
struct Service {
    bool isServed = false;
    std::chrono::milliseconds requestTime {};
    std::chrono::milliseconds readyTime {};
    unsigned requestStatus = 0;
    unsigned readyStatus = 0;

    std::string text() const
    {
        return "request " + std::to_string(requestStatus) + " after " + std::to_string(requestTime.count())
            + " ms, readiness " + std::to_string(readyStatus) + " after " + std::to_string(readyTime.count()) + " ms";
    }
};

Service awaitService(RegistryCluster& cluster)
{
    Service service;
    const auto begin = std::chrono::steady_clock::now();
    const auto elapsed = [&] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
    };
    const bool isRequestServed = eventually([&] {
        service.requestStatus = cluster.request("GET", "/lookups/1", "ordinary").status;
        return service.requestStatus == 200;
    });
    service.requestTime = elapsed();
    if (!isRequestServed)
        return service;
    service.isServed = eventually([&] {
        service.readyStatus = call(cluster.daemon().admin, { "GET", "/ready", {}, {}, {} }).status;
        return service.readyStatus == 200;
    });
    service.readyTime = elapsed() - service.requestTime;
    return service;
}

} // namespace

// All pairs of a crowd and a door.
static std::array<std::size_t, std::size(crowdRows) * std::size(doorRows)> pairs;

// Guards against a crowd of callers, each inside the limits or not, that takes the memory or the descriptors of the
// process, or leaves it unable to serve an ordinary request or its readiness check, while the crowd stays and after.
ParameterizedTestParameters(HostileCallers, leaveRoomForOthers)
{
    for (std::size_t n = 0; n < pairs.size(); ++n)
        pairs[n] = n;
    return cr_make_param_array(std::size_t, pairs.data(), pairs.size());
}

ParameterizedTest(std::size_t* index, HostileCallers, leaveRoomForOthers, .timeout = 150)
{
    const auto& row = crowdRows[*index / std::size(doorRows)];
    const auto& door = doorRows[*index % std::size(doorRows)];
    RegistryCluster::Options options;
    options.settings = R"({ "callerMemoryBytes": 16777216, "maxCallerConnections": 128 })";
    RegistryCluster cluster(1, 1, options);
    cluster.setMode(0, "padding=" + std::to_string(row.answerPadding));
    auto& daemon = cluster.daemon();
    const auto memoryBefore = daemon.process.residentKilobytes();
    const auto descriptorsBefore = openDescriptors(daemon.process);
    std::size_t memory = 0;
    std::size_t descriptors = 0;
    Service beside;
    const auto observe = [&] {
        memory = std::max(memory, peakKilobytes(daemon.process));
        descriptors = std::max(descriptors, openDescriptors(daemon.process));
    };
    {
        Crowd crowd(door.isOperators ? daemon.admin : daemon.caller, crowdSize, textOf(row, door));
        crowd.sendAll(row.pieceBytes, observe);
        cr_assert(daemon.process.isRunning(), "%s, %s: the process ended", row.name, door.name);
        observe();
        beside = awaitService(cluster);
        cr_expect(
            beside.isServed, "%s, %s: not served beside the crowd: %s", row.name, door.name, beside.text().c_str());
        observe();
    }
    const auto after = awaitService(cluster);
    cr_expect(after.isServed, "%s, %s: not served after the crowd: %s", row.name, door.name, after.text().c_str());
    observe();
    cr_assert(daemon.process.isRunning(), "%s, %s: the process ended", row.name, door.name);
    cr_log_info("%s, %s: %zu kB before, at most %zu kB, at the end %zu kB; descriptors %zu, at most %zu; beside the "
                "crowd %s, after it %s\n",
        row.name, door.name, memoryBefore, memory, daemon.process.residentKilobytes(), descriptorsBefore, descriptors,
        beside.text().c_str(), after.text().c_str());
    cr_expect(descriptors <= descriptorsBefore + descriptorGrowthLimit, "%s, %s: %zu descriptors, then %zu", row.name,
        door.name, descriptorsBefore, descriptors);
    if (measuresMemory)
        cr_expect(memory <= memoryBefore + growthLimitKilobytes, "%s, %s: %zu kB, then %zu kB", row.name, door.name,
            memoryBefore, memory);
}

struct StalledRow {
    const char* name;
    const char* framing;
    std::size_t bytes;
};

const StalledRow stalledRows[] = {
    { "declared length", "Content-Length: 100000\r\n\r\n", 80'000 },
    { "chunk", "Transfer-Encoding: chunked\r\n\r\n186a0\r\n", 80'000 },
    { "declared length, not passed on", "Content-Length: 100000\r\n\r\n", 30'000 },
};

// Guards against a promise that is not kept: a request whose body stops after it has been passed on may run, and was
// answered 408.
ParameterizedTestParameters(HostileCallers, getNoFalsePromise) { return rowIndices(stalledRows); }

ParameterizedTest(std::size_t* index, HostileCallers, getNoFalsePromise, .timeout = 60)
{
    const auto& row = stalledRows[*index];
    RegistryCluster cluster(1);
    TestClient client(cluster.daemon().caller);
    client.send("POST /orders/1 HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: stalled\r\n"
                "Dogwoodhall-Deadline-Ms: 2000\r\n"
        + std::string(row.framing) + std::string(row.bytes, 'b'));
    const auto response = client.readResponse();
    const bool isPromise = response.status == 408 || response.status == 429 || response.status == 503;
    ::usleep(200'000); // An endpoint may run it later.
    const auto runs = cluster.runs("stalled");
    cr_expect(!isPromise || runs == 0, "%s: %u, %zu runs", row.name, response.status, runs);
    cr_expect(response.status != 0, "%s: no answer", row.name);
}
