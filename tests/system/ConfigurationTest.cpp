#include "Cluster.h"
#include "MemberStatus.h"
#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace dogwoodhall;
using Clock = std::chrono::steady_clock;

namespace {

// The stated target for a change to be in effect everywhere (docs/design.md, "Size to design for").
constexpr std::chrono::seconds propagationLimit { 14 };
// How long members are observed afterwards for a reversal; watchers ask a stale platform, and members gossip, twice a
// second.
constexpr std::chrono::seconds observationTime { 3 };
constexpr std::size_t queuedRequests = 8; // Sent to a member while it is paused.
constexpr std::size_t largestRecord = 1'048'576; // docs/configuration.md, "What is rejected"

// The configuration that every member must have. Each service's record has one upstream, which thus identifies it.
struct Expected {
    std::uint64_t revision = 0;
    std::string jingles;
    std::string second; // Empty if the service is not declared.
};

// The upstream that serves a request that only the record with `upstream` matches; the status if none serves it.
std::string servedBy(const DaemonProcess& member, const std::string& service, const std::string& upstream)
{
    const auto response = call(member.caller, { "GET", "/" + service + "/" + upstream, {}, {}, {} });
    return response.status == 200 ? response.field("X-Endpoint") : std::to_string(response.status);
}

// True if the member still routes by the first record of the service, which names u0.
bool servesByFirstRecord(const DaemonProcess& member) { return servedBy(member, "jingles", "u0").starts_with("u"); }

std::uint64_t publish(Cluster& cluster, const std::string& service, std::size_t upstream, int schemaVersion = 1)
{
    return cluster.publishRecord(service, cluster.recordOf(service, upstream, schemaVersion));
}

// How the member's configuration differs from the expected one; empty if it does not.
std::string differenceFrom(const DaemonProcess& member, const Expected& expected)
{
    const auto status = statusOf(member);
    if (!status.isReady)
        return "is not ready";
    if (status.revision != expected.revision)
        return "is at revision " + std::to_string(status.revision) + ", not " + std::to_string(expected.revision);
    const auto jingles = servedBy(member, "jingles", expected.jingles);
    if (jingles != expected.jingles)
        return "serves jingles from " + jingles + ", not " + expected.jingles;
    const auto second = expected.second.empty() ? std::string() : servedBy(member, "second", expected.second);
    return second == expected.second ? std::string() : "serves second from " + second + ", not " + expected.second;
}

bool isInEffect(const DaemonProcess& member, const Expected& expected)
{
    return differenceFrom(member, expected).empty();
}

void expectInEffect(Cluster& cluster, Clock::time_point from, const Expected& expected, const char* row)
{
    for (const auto& member : cluster.daemons()) {
        for (auto seen = differenceFrom(member, expected); !seen.empty(); seen = differenceFrom(member, expected)) {
            cr_assert_lt(Clock::now(), from + propagationLimit, "%s: %s %s", row, member.name.c_str(), seen.c_str());
            ::usleep(20'000);
        }
    }
    for (const auto end = Clock::now() + observationTime; Clock::now() < end; ::usleep(50'000)) {
        for (const auto& member : cluster.daemons()) {
            const auto seen = differenceFrom(member, expected);
            cr_assert(
                seen.empty(), "%s: %s does not keep the configuration: %s", row, member.name.c_str(), seen.c_str());
        }
    }
}

// A cluster whose members know one another to be alive and have elected the watchers of the platform; u0 serves.
Cluster startCluster(std::size_t dataCentres, std::size_t daemons)
{
    auto cluster = Cluster::Builder().dataCentres(dataCentres).daemons(daemons).upstreams(3).start();
    cr_assert(eventually([&] {
        return std::all_of(cluster.daemons().begin(), cluster.daemons().end(),
            [&](const auto& member) { return statusOf(member).alivePeers + 1 == cluster.daemons().size(); });
    }));
    const auto revision = publish(cluster, "jingles", 0);
    expectInEffect(cluster, Clock::now(), { revision, "u0", {} }, "start");
    return cluster;
}

void signalOthers(Cluster& cluster, const DaemonProcess& except, int signal)
{
    for (auto& member : cluster.daemons()) {
        if (&member != &except)
            member.process.signal(signal);
    }
}

// The platform's state with an empty host list.
std::string withoutHosts(const std::string& state)
{
    auto document = boost::json::parse(state);
    document.at("hosts").at("hosts") = boost::json::array();
    return boost::json::serialize(document);
}

void failPlatform(Cluster& cluster, const std::string& mode, const std::string& older)
{
    if (mode == "killed")
        cluster.killPlatform();
    else if (mode.ends_with("down"))
        cluster.platformCall("PUT", "/control/mode?state=" + mode);
    else
        cluster.restartPlatform(mode.ends_with("no hosts") ? withoutHosts(older) : older);
    if (mode == "stale" || mode == "records-late") // Stale: from now on the host list does not change either.
        cluster.platformCall("PUT", "/control/mode?state=" + mode);
}

std::string padded(std::string value, std::size_t size)
{
    value.resize(std::max(value.size(), size), ' ');
    return value;
}

} // namespace

struct PropagationRow {
    const char* name;
    const char* fault; // Of the platform after one member has read the change; "older": restarted with an older state.
    std::size_t dataCentres;
    std::size_t daemons; // In each data centre.
    std::size_t recordBytes; // Each changed record is padded to this size; 0: not padded.
    std::size_t otherRecords = 0; // Published before the record that the test checks.
};

const PropagationRow propagationRows[] = {
    { "killed", "killed", 1, 3, 0 },
    { "down", "down", 1, 4, 0 },
    { "older", "older", 1, 3, 0 },
    { "killed, two data centres", "killed", 2, 3, 0 },
    { "down, two data centres", "down", 2, 2, 0 },
    { "older, two data centres", "older", 2, 2, 0 },
    { "killed, largest record", "killed", 1, 3, largestRecord },
    { "killed, largest record, two data centres", "killed", 2, 2, largestRecord },
    { "killed, three largest records", "killed", 1, 3, largestRecord, 2 },
};

// Guards against a change that does not reach the other members if the platform fails after one member has read it. The
// others are stopped while one watcher reads the change. The platform is down before that, so that no response waits in
// their sockets.
ParameterizedTestParameters(Configuration, propagatesWithoutThePlatform) { return rowIndices(propagationRows); }

ParameterizedTest(std::size_t* index, Configuration, propagatesWithoutThePlatform, .timeout = 120)
{
    const auto& row = propagationRows[*index];
    auto cluster = startCluster(row.dataCentres, row.daemons);
    const auto older = cluster.platformCall("GET", "/control/state").body;
    cluster.platformCall("PUT", "/control/mode?state=down");
    const auto reader = std::find_if(cluster.daemons().begin(), cluster.daemons().end(),
        [](const auto& member) { return statusOf(member).isWatcher; });
    cr_assert(reader != cluster.daemons().end());
    signalOthers(cluster, *reader, SIGSTOP);
    for (std::size_t n = 0; n < row.otherRecords; ++n) {
        const auto service = "other" + std::to_string(n);
        cluster.publishRecord(service, padded(cluster.recordOf(service, 1, 1), row.recordBytes));
    }
    const auto revision = cluster.publishRecord("jingles", padded(cluster.recordOf("jingles", 1, 1), row.recordBytes));
    cluster.platformCall("PUT", "/control/mode?state=serving");
    cr_assert(eventually([&] { return statusOf(*reader).revision == revision; }), "%s: not read", row.name);
    const auto from = Clock::now();
    failPlatform(cluster, row.fault, older);
    signalOthers(cluster, *reader, SIGCONT);
    expectInEffect(cluster, from, { revision, "u1", {} }, row.name);
}

struct JoinRow {
    const char* name;
    const char* fault; // Of the platform before the members start.
    std::size_t daemons;
    std::size_t restarted; // The last ones, all killed before the first is started; 0: a new member starts.
};

const JoinRow joinRows[] = {
    { "new member, stale", "stale", 3, 0 },
    { "new member, older", "older", 3, 0 },
    { "new member, older, host list restored without hosts", "older, no hosts", 3, 0 },
    { "one restarted, stale", "stale", 3, 1 },
    { "one restarted, older", "older", 3, 1 },
    { "new member, late answer with the older state", "records-late", 3, 0 },
    { "one restarted, configuration service down", "records-down", 3, 1 },
    { "all but one restarted, stale", "stale", 6, 5 },
    { "all but one restarted, older", "older", 6, 5 },
};

// Guards against a member that starts with the state of a stale platform although a peer holds a higher revision.
ParameterizedTestParameters(Configuration, joinsWithThePeersRevision) { return rowIndices(joinRows); }

ParameterizedTest(std::size_t* index, Configuration, joinsWithThePeersRevision, .timeout = 120)
{
    const auto& row = joinRows[*index];
    auto cluster = startCluster(1, row.daemons);
    const auto older = cluster.platformCall("GET", "/control/state").body;
    const auto revision = publish(cluster, "jingles", 1);
    const Expected expected { revision, "u1", {} };
    expectInEffect(cluster, Clock::now(), expected, row.name);
    failPlatform(cluster, row.fault, older);
    const auto first = row.daemons - row.restarted;
    for (auto n = first; n < row.daemons; ++n)
        cluster.daemon(n).process.kill();
    const auto from = Clock::now();
    for (auto n = first; n < row.daemons; ++n)
        cluster.restartDaemon(n);
    if (!row.restarted) {
        cluster.startDaemon("dc0");
        cluster.publishHosts();
    }
    if (row.fault == std::string("records-late")) {
        // The response to the request that the member sent before it heard from its peers arrives after it has.
        cr_assert(eventually([&] { return statusOf(cluster.daemon(first)).revision == revision; }), "%s", row.name);
        cluster.platformCall("PUT", "/control/mode?state=serving");
    }
    // Until a member has the revision, it must refuse requests.
    for (auto n = first; n < cluster.daemons().size(); ++n) {
        const auto& member = cluster.daemon(n);
        while (!isInEffect(member, expected)) {
            const auto status = statusOf(member);
            cr_assert(!status.isReady || status.revision == revision, "%s: %s is ready without the revision", row.name,
                member.name.c_str());
            cr_assert_not(
                servesByFirstRecord(member), "%s: %s serves by the older record", row.name, member.name.c_str());
            cr_assert_lt(Clock::now(), from + propagationLimit, "%s: %s takes too long to get the revision", row.name,
                member.name.c_str());
        }
    }
    expectInEffect(cluster, from, expected, row.name);
}

struct OperatorRow {
    const char* name;
    const char* services[2]; // The service that each operator changes.
    std::size_t dataCentres;
};

const OperatorRow operatorRows[] = {
    { "different records", { "jingles", "second" }, 1 },
    { "same record", { "jingles", "jingles" }, 1 },
    { "different records, two data centres", { "jingles", "second" }, 2 },
    { "same record, two data centres", { "jingles", "jingles" }, 2 },
};

// Guards against members that end at different changes of two operators, or revert to an older one meanwhile.
ParameterizedTestParameters(Configuration, concurrentChangesAgree) { return rowIndices(operatorRows); }

ParameterizedTest(std::size_t* index, Configuration, concurrentChangesAgree, .timeout = 120)
{
    const auto& row = operatorRows[*index];
    constexpr std::size_t changes = 30; // Of each operator.
    auto cluster = startCluster(row.dataCentres, 3);
    std::uint64_t last[2] = {};
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < 2; ++n) {
        // An operator's last change names u1 or u2, which identifies the winner.
        threads.emplace_back([&, n] {
            for (std::size_t i = 0; i < changes; ++i)
                last[n] = publish(cluster, row.services[n], i + 1 < changes ? i % 2 : n + 1, i % 2 ? 1 : 2);
        });
    }
    for (auto& thread : threads)
        thread.join();
    const bool isSame = row.services[0] == std::string(row.services[1]);
    const std::string jingles = isSame && last[1] > last[0] ? "u2" : "u1";
    expectInEffect(cluster, Clock::now(), { std::max(last[0], last[1]), jingles, isSame ? "" : "u2" }, row.name);
}

struct RejectedRow {
    const char* name;
    int schemaVersion;
    const char* text; // Of the record, replaced by the fault.
    const char* fault;
    bool isFirst; // Published before the valid record.
    std::size_t recordBytes = 0; // The bad record is padded to this size; 0: not padded.
};

const RejectedRow rejectedRows[] = {
    { "value out of range", 1, R"("slots":3)", R"("slots":0)", true },
    { "wrong type, published last", 1, R"("slots":3)", R"("slots":"3")", false },
    { "unknown field", 2, R"("slots":3)", R"("slots":3,"slot":3)", true },
    { "field of version 2 in version 1, published last", 1, R"("slots":3)", R"("slots":3,"maxConnections":9)", false },
    { "above 1 MB", 1, "{", "{", true, largestRecord + 100'000 },
    { "unknown schema version", 1, R"("schemaVersion":1)", R"("schemaVersion":3)", true },
};

// Guards against a record with one bad field that takes effect in part, displaces the one in effect, or blocks valid
// records, and against a rejection that is not counted for the operators.
ParameterizedTestParameters(Configuration, badFieldRejectsItsRecordOnly) { return rowIndices(rejectedRows); }

ParameterizedTest(std::size_t* index, Configuration, badFieldRejectsItsRecordOnly, .timeout = 120)
{
    const auto& row = rejectedRows[*index];
    auto cluster = startCluster(1, 3);
    auto bad = cluster.recordOf("jingles", 1, row.schemaVersion);
    bad.replace(bad.find(row.text), std::string(row.text).size(), row.fault);
    bad = padded(std::move(bad), row.recordBytes);
    std::uint64_t revision = row.isFirst ? cluster.publishRecord("jingles", bad) : 0;
    revision = std::max(revision, publish(cluster, "second", 2));
    if (!row.isFirst)
        revision = cluster.publishRecord("jingles", bad);
    expectInEffect(cluster, Clock::now(), { revision, "u0", "u2" }, row.name);
    for (const auto& member : cluster.daemons())
        cr_assert_geq(counterOf(member, "dogwoodhall_records_rejected_total"), 1, "%s: %s does not count it", row.name,
            member.name.c_str());
    // The platform has only the bad record for the new member; its peers hold the one in effect.
    cluster.startDaemon("dc0");
    cluster.publishHosts();
    expectInEffect(cluster, Clock::now(), { revision, "u0", "u2" }, row.name);
    revision = publish(cluster, "jingles", 1, row.schemaVersion);
    expectInEffect(cluster, Clock::now(), { revision, "u1", "u2" }, row.name);
}

struct SchemaRow {
    const char* name;
    int jingles[2]; // Schema version of the record before and after the change.
    int second[2];
};

const SchemaRow schemaRows[] = {
    { "one record goes to version 2", { 1, 2 }, { 1, 1 } },
    { "one record goes back to version 1", { 2, 1 }, { 2, 2 } },
    { "the two swap versions", { 1, 2 }, { 2, 1 } },
};

// Guards against a schema version that is not accepted while records of the other version exist.
ParameterizedTestParameters(Configuration, schemaVersionsCoexist) { return rowIndices(schemaRows); }

ParameterizedTest(std::size_t* index, Configuration, schemaVersionsCoexist, .timeout = 120)
{
    const auto& row = schemaRows[*index];
    auto cluster = startCluster(1, 3);
    for (std::size_t n = 0; n < 2; ++n) {
        publish(cluster, "jingles", n, row.jingles[n]);
        const auto revision = publish(cluster, "second", n + 1, row.second[n]);
        const Expected expected { revision, n ? "u1" : "u0", n ? "u2" : "u1" };
        expectInEffect(cluster, Clock::now(), expected, row.name);
    }
}

struct PauseRow {
    const char* name;
    bool isWatcher; // The member that is paused.
    std::chrono::seconds pause;
    const char* fault; // Of the platform, before the member is resumed.
    std::size_t daemons = 4;
    bool hasChange = true; // Records change during the pause.
};

// After a pause longer than the propagation limit, a change that was made meanwhile must be in effect at once.
const PauseRow pauseRows[] = {
    { "watcher, 3 s", true, std::chrono::seconds(3), "serving" },
    { "no watcher, 3 s", false, std::chrono::seconds(3), "serving" },
    { "watcher, 3 s, platform older", true, std::chrono::seconds(3), "older" },
    { "no watcher, 3 s, platform killed", false, std::chrono::seconds(3), "killed" },
    { "watcher, 15 s", true, propagationLimit + std::chrono::seconds(1), "serving" },
    { "no watcher, 15 s, platform killed", false, propagationLimit + std::chrono::seconds(1), "killed" },
    { "alone, 3 s", true, std::chrono::seconds(3), "serving", 1 },
    { "alone, 3 s, nothing changes", true, std::chrono::seconds(3), "serving", 1, false },
    { "alone, 3 s, nothing changes, platform killed", true, std::chrono::seconds(3), "killed", 1, false },
};

// Guards against a member that serves by its configuration from before a pause, or does not catch up after one.
ParameterizedTestParameters(Configuration, resumedMemberCatchesUp) { return rowIndices(pauseRows); }

ParameterizedTest(std::size_t* index, Configuration, resumedMemberCatchesUp, .timeout = 120)
{
    const auto& row = pauseRows[*index];
    auto cluster = startCluster(1, row.daemons);
    const auto older = cluster.platformCall("GET", "/control/state").body;
    const auto member = std::find_if(cluster.daemons().begin(), cluster.daemons().end(),
        [&](const auto& candidate) { return statusOf(candidate).isWatcher == row.isWatcher; });
    cr_assert(member != cluster.daemons().end());
    const TestRequest onFirstRecord { "GET", "/jingles/u0", {}, {}, {} };
    // On open connections, so that the member reads their requests as soon as it is resumed.
    std::vector<std::unique_ptr<TestClient>> clients;
    for (std::size_t n = 0; n < queuedRequests; ++n) {
        clients.push_back(std::make_unique<TestClient>(member->caller));
        clients.back()->send(onFirstRecord.text());
        cr_assert_eq(clients.back()->readResponse().status, 200);
    }
    // A change renews the watch, so that its next response comes after the limit if nothing changes again.
    Expected expected { publish(cluster, "jingles", 0), "u0", {} };
    cr_assert(eventually([&] { return statusOf(*member).revision == expected.revision; }));
    const auto from = Clock::now();
    member->process.signal(SIGSTOP);
    if (row.hasChange) {
        publish(cluster, "jingles", 2);
        expected = { publish(cluster, "jingles", 1), "u1", {} };
    }
    for (const auto& other : cluster.daemons()) {
        while (&other != &*member && !isInEffect(other, expected))
            cr_assert_lt(Clock::now(), from + propagationLimit, "%s: %s", row.name, other.name.c_str());
    }
    if (row.fault != std::string("serving"))
        failPlatform(cluster, row.fault, older);
    std::this_thread::sleep_until(from + row.pause);
    for (auto& client : clients)
        client->send(onFirstRecord.text());
    const auto resumedAt = Clock::now();
    member->process.signal(SIGCONT);
    const bool isLate = row.pause > propagationLimit;
    for (auto& client : clients) {
        const auto status = client->readResponse().status;
        cr_assert(!isLate || status != 200, "%s: a queued request is served by the older record", row.name);
    }
    while (isLate && !isInEffect(*member, expected)) {
        cr_assert_not(servesByFirstRecord(*member), "%s: serves by the older record", row.name);
        cr_assert_lt(Clock::now(), resumedAt + propagationLimit, "%s: does not catch up", row.name);
    }
    expectInEffect(cluster, resumedAt, expected, row.name);
}
