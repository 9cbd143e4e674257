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
constexpr std::chrono::seconds inForceWithin { 14 };
// Watched for this long afterwards; watchers ask a stale platform, and members gossip, twice a second.
constexpr std::chrono::seconds watchedFor { 3 };
constexpr std::size_t queuedRequests = 8; // Sent to a member while it is paused.
constexpr std::size_t largestRecord = 1'048'576; // docs/configuration.md, "What is rejected"

// What every member has to show. The services are declared with one upstream each, so that it names their record.
struct Expected {
    std::uint64_t revision = 0;
    std::string jingles;
    std::string second; // Empty where the service is not declared.
};

// The upstream that answers a request that only the record of `upstream` covers, or the status where none does.
std::string servedBy(const DaemonProcess& member, const std::string& service, const std::string& upstream)
{
    const auto answer = call(member.caller, { "GET", "/" + service + "/" + upstream, {}, {}, {} });
    return answer.status == 200 ? answer.field("X-Endpoint") : std::to_string(answer.status);
}

// True where the member still routes by the first record of the service, which names u0.
bool servesByFirstRecord(const DaemonProcess& member) { return servedBy(member, "jingles", "u0").starts_with("u"); }

std::uint64_t publish(Cluster& cluster, const std::string& service, std::size_t upstream, int schemaVersion = 1)
{
    return cluster.publishRecord(service, cluster.recordOf(service, upstream, schemaVersion));
}

// What the member shows instead of what is expected; empty where it shows that.
std::string mismatch(const DaemonProcess& member, const Expected& expected)
{
    const auto status = statusOf(member);
    if (!status.isReady)
        return "is not ready";
    if (status.revision != expected.revision)
        return "is at revision " + std::to_string(status.revision) + ", not " + std::to_string(expected.revision);
    const auto jingles = servedBy(member, "jingles", expected.jingles);
    if (jingles != expected.jingles)
        return "answers " + jingles + " in place of " + expected.jingles;
    const auto second = expected.second.empty() ? std::string() : servedBy(member, "second", expected.second);
    return second == expected.second ? std::string() : "answers " + second + " in place of " + expected.second;
}

bool isInForce(const DaemonProcess& member, const Expected& expected) { return mismatch(member, expected).empty(); }

void expectInForce(Cluster& cluster, Clock::time_point from, const Expected& expected, const char* row)
{
    for (const auto& member : cluster.daemons()) {
        for (auto seen = mismatch(member, expected); !seen.empty(); seen = mismatch(member, expected)) {
            cr_assert_lt(Clock::now(), from + inForceWithin, "%s: %s %s", row, member.name.c_str(), seen.c_str());
            ::usleep(20'000);
        }
    }
    for (const auto end = Clock::now() + watchedFor; Clock::now() < end; ::usleep(50'000)) {
        for (const auto& member : cluster.daemons()) {
            const auto seen = mismatch(member, expected);
            cr_assert(seen.empty(), "%s: %s does not stay at it: %s", row, member.name.c_str(), seen.c_str());
        }
    }
}

// Members know one another and have settled who watches the platform; u0 serves.
Cluster startCluster(std::size_t dataCentres, std::size_t daemons)
{
    auto cluster = Cluster::Builder().dataCentres(dataCentres).daemons(daemons).upstreams(3).start();
    cr_assert(eventually([&] {
        return std::all_of(cluster.daemons().begin(), cluster.daemons().end(),
            [&](const auto& member) { return statusOf(member).alivePeers + 1 == cluster.daemons().size(); });
    }));
    const auto revision = publish(cluster, "jingles", 0);
    expectInForce(cluster, Clock::now(), { revision, "u0", {} }, "start");
    return cluster;
}

void signalOthers(Cluster& cluster, const DaemonProcess& but, int signal)
{
    for (auto& member : cluster.daemons()) {
        if (&member != &but)
            member.process.signal(signal);
    }
}

// A platform's state with a host list that names nobody.
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

struct SpreadRow {
    const char* name;
    const char* fault; // Of the platform once one member has read the change; "older": restarted with an older state.
    std::size_t dataCentres;
    std::size_t daemons; // In each data centre.
    std::size_t recordBytes; // Size of each record that changes; 0 for as small as it is.
    std::size_t otherRecords = 0; // Published before the record that is asked for.
};

const SpreadRow spreads[] = {
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

// Guards against a change that stays with the members that read it before the platform failed. The others are stopped
// while one watcher reads it; before that the platform is down, so that no answer waits in their sockets.
ParameterizedTestParameters(Configuration, spreadsWithoutThePlatform) { return rowIndices(spreads); }

ParameterizedTest(std::size_t* index, Configuration, spreadsWithoutThePlatform, .timeout = 120)
{
    const auto& row = spreads[*index];
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
    expectInForce(cluster, from, { revision, "u1", {} }, row.name);
}

struct JoinRow {
    const char* name;
    const char* fault; // Of the platform before the members start.
    std::size_t daemons;
    std::size_t restarted; // The last ones, all killed before the first is started; 0: a new member starts.
};

const JoinRow joins[] = {
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

// Guards against a member that starts with what a stale platform says although a peer holds a higher revision.
ParameterizedTestParameters(Configuration, joinsWithThePeersRevision) { return rowIndices(joins); }

ParameterizedTest(std::size_t* index, Configuration, joinsWithThePeersRevision, .timeout = 120)
{
    const auto& row = joins[*index];
    auto cluster = startCluster(1, row.daemons);
    const auto older = cluster.platformCall("GET", "/control/state").body;
    const auto revision = publish(cluster, "jingles", 1);
    const Expected expected { revision, "u1", {} };
    expectInForce(cluster, Clock::now(), expected, row.name);
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
        // The answer to the request from before the member heard its peers arrives after it did.
        cr_assert(eventually([&] { return statusOf(cluster.daemon(first)).revision == revision; }), "%s", row.name);
        cluster.platformCall("PUT", "/control/mode?state=serving");
    }
    // Until it has the revision, each of them may only refuse.
    for (auto n = first; n < cluster.daemons().size(); ++n) {
        const auto& member = cluster.daemon(n);
        while (!isInForce(member, expected)) {
            const auto status = statusOf(member);
            cr_assert(!status.isReady || status.revision == revision, "%s: %s is ready", row.name, member.name.c_str());
            cr_assert_not(
                servesByFirstRecord(member), "%s: %s serves by the older record", row.name, member.name.c_str());
            cr_assert_lt(Clock::now(), from + inForceWithin, "%s: %s is late", row.name, member.name.c_str());
        }
    }
    expectInForce(cluster, from, expected, row.name);
}

struct OperatorRow {
    const char* name;
    const char* services[2]; // What each operator changes.
    std::size_t dataCentres;
};

const OperatorRow operators[] = {
    { "different records", { "jingles", "second" }, 1 },
    { "same record", { "jingles", "jingles" }, 1 },
    { "different records, two data centres", { "jingles", "second" }, 2 },
    { "same record, two data centres", { "jingles", "jingles" }, 2 },
};

// Guards against members that end on different changes of two operators, or go back on the way.
ParameterizedTestParameters(Configuration, concurrentChangesAgree) { return rowIndices(operators); }

ParameterizedTest(std::size_t* index, Configuration, concurrentChangesAgree, .timeout = 120)
{
    const auto& row = operators[*index];
    constexpr std::size_t changes = 30; // Of each operator.
    auto cluster = startCluster(row.dataCentres, 3);
    std::uint64_t last[2] = {};
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < 2; ++n) {
        // An operator's last change names u1 or u2, after whom the winner is recognised.
        threads.emplace_back([&, n] {
            for (std::size_t i = 0; i < changes; ++i)
                last[n] = publish(cluster, row.services[n], i + 1 < changes ? i % 2 : n + 1, i % 2 ? 1 : 2);
        });
    }
    for (auto& thread : threads)
        thread.join();
    const bool isSame = row.services[0] == std::string(row.services[1]);
    const std::string jingles = isSame && last[1] > last[0] ? "u2" : "u1";
    expectInForce(cluster, Clock::now(), { std::max(last[0], last[1]), jingles, isSame ? "" : "u2" }, row.name);
}

struct RejectedRow {
    const char* name;
    int schemaVersion;
    const char* text; // Of the record, replaced by the fault.
    const char* fault;
    bool isFirst; // Published before the sound record.
    std::size_t recordBytes = 0; // Size of the bad record.
};

const RejectedRow rejections[] = {
    { "value out of range", 1, R"("slots":3)", R"("slots":0)", true },
    { "wrong type, published last", 1, R"("slots":3)", R"("slots":"3")", false },
    { "unknown field", 2, R"("slots":3)", R"("slots":3,"slot":3)", true },
    { "field of version 2 in version 1, published last", 1, R"("slots":3)", R"("slots":3,"maxConnections":9)", false },
    { "above 1 MB", 1, "{", "{", true, largestRecord + 100'000 },
    { "unknown schema version", 1, R"("schemaVersion":1)", R"("schemaVersion":3)", true },
};

// Guards against a record with one bad field that takes effect in part, displaces the one in force, or keeps back
// sound records; and against one that the operators are not told of.
ParameterizedTestParameters(Configuration, badFieldRejectsItsRecordOnly) { return rowIndices(rejections); }

ParameterizedTest(std::size_t* index, Configuration, badFieldRejectsItsRecordOnly, .timeout = 120)
{
    const auto& row = rejections[*index];
    auto cluster = startCluster(1, 3);
    auto bad = cluster.recordOf("jingles", 1, row.schemaVersion);
    bad.replace(bad.find(row.text), std::string(row.text).size(), row.fault);
    bad = padded(std::move(bad), row.recordBytes);
    std::uint64_t revision = row.isFirst ? cluster.publishRecord("jingles", bad) : 0;
    revision = std::max(revision, publish(cluster, "second", 2));
    if (!row.isFirst)
        revision = cluster.publishRecord("jingles", bad);
    expectInForce(cluster, Clock::now(), { revision, "u0", "u2" }, row.name);
    for (const auto& member : cluster.daemons())
        cr_assert_geq(counterOf(member, "dogwoodhall_records_rejected_total"), 1, "%s: %s does not count it", row.name,
            member.name.c_str());
    // The platform offers it nothing but the bad record; its peers hold the one in force.
    cluster.startDaemon("dc0");
    cluster.publishHosts();
    expectInForce(cluster, Clock::now(), { revision, "u0", "u2" }, row.name);
    revision = publish(cluster, "jingles", 1, row.schemaVersion);
    expectInForce(cluster, Clock::now(), { revision, "u1", "u2" }, row.name);
}

struct SchemaRow {
    const char* name;
    int jingles[2]; // Schema version of the record before and after the change.
    int second[2];
};

const SchemaRow schemas[] = {
    { "one record goes to version 2", { 1, 2 }, { 1, 1 } },
    { "one record goes back to version 1", { 2, 1 }, { 2, 2 } },
    { "the two swap versions", { 1, 2 }, { 2, 1 } },
};

// Guards against a schema version that is not understood beside the other one.
ParameterizedTestParameters(Configuration, schemaVersionsCoexist) { return rowIndices(schemas); }

ParameterizedTest(std::size_t* index, Configuration, schemaVersionsCoexist, .timeout = 120)
{
    const auto& row = schemas[*index];
    auto cluster = startCluster(1, 3);
    for (std::size_t n = 0; n < 2; ++n) {
        publish(cluster, "jingles", n, row.jingles[n]);
        const auto revision = publish(cluster, "second", n + 1, row.second[n]);
        const Expected expected { revision, n ? "u1" : "u0", n ? "u2" : "u1" };
        expectInForce(cluster, Clock::now(), expected, row.name);
    }
}

struct PauseRow {
    const char* name;
    bool isWatcher; // The member that is paused.
    std::chrono::seconds pause;
    const char* fault; // Of the platform before it wakes.
    std::size_t daemons = 4;
    bool hasChange = true; // Records change during the pause.
};

// A pause of inForceWithin and more: a change from before it is over must be in effect at once.
const PauseRow pauses[] = {
    { "watcher, 3 s", true, std::chrono::seconds(3), "serving" },
    { "no watcher, 3 s", false, std::chrono::seconds(3), "serving" },
    { "watcher, 3 s, platform older", true, std::chrono::seconds(3), "older" },
    { "no watcher, 3 s, platform killed", false, std::chrono::seconds(3), "killed" },
    { "watcher, 15 s", true, inForceWithin + std::chrono::seconds(1), "serving" },
    { "no watcher, 15 s, platform killed", false, inForceWithin + std::chrono::seconds(1), "killed" },
    { "alone, 3 s", true, std::chrono::seconds(3), "serving", 1 },
    { "alone, 3 s, nothing changes", true, std::chrono::seconds(3), "serving", 1, false },
    { "alone, 3 s, nothing changes, platform killed", true, std::chrono::seconds(3), "killed", 1, false },
};

// Guards against a member that serves by what it knew before a pause, or does not catch up after one.
ParameterizedTestParameters(Configuration, wokenMemberCatchesUp) { return rowIndices(pauses); }

ParameterizedTest(std::size_t* index, Configuration, wokenMemberCatchesUp, .timeout = 120)
{
    const auto& row = pauses[*index];
    auto cluster = startCluster(1, row.daemons);
    const auto older = cluster.platformCall("GET", "/control/state").body;
    const auto member = std::find_if(cluster.daemons().begin(), cluster.daemons().end(),
        [&](const auto& candidate) { return statusOf(candidate).isWatcher == row.isWatcher; });
    cr_assert(member != cluster.daemons().end());
    const TestRequest onFirstRecord { "GET", "/jingles/u0", {}, {}, {} };
    // On connections that are open, so that their requests are read as soon as the member wakes.
    std::vector<std::unique_ptr<TestClient>> clients;
    for (std::size_t n = 0; n < queuedRequests; ++n) {
        clients.push_back(std::make_unique<TestClient>(member->caller));
        clients.back()->send(onFirstRecord.text());
        cr_assert_eq(clients.back()->readAnswer().status, 200);
    }
    // The watch is renewed by a change, so that its next answer is later than the bound where nothing changes again.
    Expected expected { publish(cluster, "jingles", 0), "u0", {} };
    cr_assert(eventually([&] { return statusOf(*member).revision == expected.revision; }));
    const auto from = Clock::now();
    member->process.signal(SIGSTOP);
    if (row.hasChange) {
        publish(cluster, "jingles", 2);
        expected = { publish(cluster, "jingles", 1), "u1", {} };
    }
    for (const auto& other : cluster.daemons()) {
        while (&other != &*member && !isInForce(other, expected))
            cr_assert_lt(Clock::now(), from + inForceWithin, "%s: %s", row.name, other.name.c_str());
    }
    if (row.fault != std::string("serving"))
        failPlatform(cluster, row.fault, older);
    std::this_thread::sleep_until(from + row.pause);
    for (auto& client : clients)
        client->send(onFirstRecord.text());
    const auto woken = Clock::now();
    member->process.signal(SIGCONT);
    const bool isLate = row.pause > inForceWithin;
    for (auto& client : clients) {
        const auto status = client->readAnswer().status;
        cr_assert(!isLate || status != 200, "%s: a queued request is served by the older record", row.name);
    }
    while (isLate && !isInForce(*member, expected)) {
        cr_assert_not(servesByFirstRecord(*member), "%s: serves by the older record", row.name);
        cr_assert_lt(Clock::now(), woken + inForceWithin, "%s: does not catch up", row.name);
    }
    expectInForce(cluster, woken, expected, row.name);
}
