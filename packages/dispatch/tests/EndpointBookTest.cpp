#include "TableRows.h"

#include "TestDirectory.h"
#include "dogwoodhall/dispatch/EndpointTracker.h"

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
const EndpointId endpoint("e");

EndpointTracker trackerOf(const std::vector<TestEndpoint>& endpoints)
{
    EndpointTracker tracker;
    tracker.apply(*TestDirectory::make(endpoints), start);
    return tracker;
}

} // namespace

struct EvidenceRow {
    const char* name;
    EndpointEvidence evidence;
    unsigned times;
    double least; // Bounds of the resulting failure share.
    double most;
    bool isUsable;
};

const EvidenceRow evidenceRows[] = {
    { "served", EndpointEvidence::Served, 10, 0, 0, true },
    { "one server error", EndpointEvidence::ServerError, 1, 0.19, 0.21, true },
    { "ten server errors", EndpointEvidence::ServerError, 10, 0.85, 1, true },
    { "ten broken connections", EndpointEvidence::Broken, 10, 0.85, 1, true },
    { "slower than its hedge ten times", EndpointEvidence::LostToHedge, 10, 0.2, 0.31, true },
    { "refusals are not failures", EndpointEvidence::Refused, 10, 0, 0, true },
    { "disconnected callers are not failures", EndpointEvidence::Unrelated, 10, 0, 0, true },
    { "another endpoint uses the address", EndpointEvidence::Misdirected, 1, 0, 1, false },
};

// Guards against sending work to failing endpoints, and against counting failures that the endpoint did not cause.
ParameterizedTestParameters(EndpointTracker, weightsEvidence) { return rowIndices(evidenceRows); }

ParameterizedTest(std::size_t* index, EndpointTracker, weightsEvidence)
{
    const auto& row = evidenceRows[*index];
    auto tracker = trackerOf({ { "e" } });
    for (unsigned n = 0; n < row.times; ++n) {
        tracker.requestSent(endpoint, start);
        tracker.requestEnded(endpoint, start, row.evidence, start);
    }
    const double share = tracker.failureShare(endpoint, start);
    cr_expect(share >= row.least && share <= row.most, "%s: %f", row.name, share);
    cr_expect_eq(tracker.isUsable(endpoint, start), row.isUsable, "%s", row.name);
    cr_expect(tracker.failureShare(endpoint, start + 30s) < 0.01, "%s: failure share did not decay", row.name);
    cr_expect(tracker.find(endpoint)->sentAt.empty(), "%s: still in flight", row.name);
}

struct UnansweredRow {
    const char* name;
    unsigned unanswered; // Consecutive probes without a response.
    bool onReusedConnection;
    bool isUsable;
};

const UnansweredRow unansweredRows[] = {
    { "one lost probe", 1, false, true },
    { "two lost probes", 2, false, false },
    { "probes lost with reused connections", 5, true, true },
};

// Guards against a hung endpoint that keeps receiving work, and against avoiding all endpoints when stale connections
// fail.
ParameterizedTestParameters(EndpointTracker, avoidsUnresponsiveEndpoints) { return rowIndices(unansweredRows); }

ParameterizedTest(std::size_t* index, EndpointTracker, avoidsUnresponsiveEndpoints)
{
    const auto& row = unansweredRows[*index];
    auto tracker = trackerOf({ { "e" } });
    for (unsigned n = 0; n < row.unanswered; ++n)
        tracker.recordUnansweredProbe(endpoint, row.onReusedConnection, start);
    cr_expect_eq(tracker.isUsable(endpoint, start), row.isUsable, "%s", row.name);
    cr_expect(tracker.isUsable(endpoint, start + 2s), "%s: avoided permanently", row.name);
    tracker.recordProbeResponse(endpoint, LoadReport { {}, {}, SlotCount(3), 1 }, HealthStatus::Healthy, start + 1ms);
    cr_expect(tracker.isUsable(endpoint, start + 2ms), "%s: avoided after a probe response", row.name);
}

// Guards against two requests of this process that take the same free slot.
Test(EndpointTracker, addsOwnRequestsToReport)
{
    auto tracker = trackerOf({ { "e" } });
    tracker.requestSent(endpoint, start);
    tracker.recordProbeResponse(
        endpoint, LoadReport { SlotCount(1), {}, SlotCount(3), 1 }, HealthStatus::Healthy, start + 1ms);
    tracker.requestSent(endpoint, start + 2ms);
    cr_expect_eq(tracker.currentLoad(endpoint)->running, SlotCount(2));
    tracker.requestEnded(endpoint, start + 2ms, EndpointEvidence::Served, start + 3ms);
    cr_expect_eq(tracker.currentLoad(endpoint)->running, SlotCount(1));
}

struct DirectoryRow {
    const char* name;
    std::vector<TestEndpoint> later;
    bool isKnown;
    double failureShare;
};

const DirectoryRow directoryRows[] = {
    { "same incarnation", { { "e" } }, true, 0.2 },
    { "new incarnation with the same id", { { "e", "a1", false, 2 } }, true, 0 },
    { "leaving", { { "e", "a1", true } }, false, 0 },
    { "removed", { { "f" } }, false, 0 },
};

// Guards against state that outlives the incarnation of its endpoint.
ParameterizedTestParameters(EndpointTracker, followsDirectory) { return rowIndices(directoryRows); }

ParameterizedTest(std::size_t* index, EndpointTracker, followsDirectory)
{
    const auto& row = directoryRows[*index];
    auto tracker = trackerOf({ { "e" } });
    tracker.requestSent(endpoint, start);
    tracker.requestEnded(endpoint, start, EndpointEvidence::Broken, start);
    tracker.apply(*TestDirectory::make(row.later), start);
    cr_expect_eq(tracker.find(endpoint) != nullptr, row.isKnown, "%s", row.name);
    cr_expect_eq(tracker.isUsable(endpoint, start), row.isKnown, "%s", row.name);
    cr_expect_float_eq(tracker.failureShare(endpoint, start), row.failureShare, 0.01, "%s", row.name);
}
