#include "TableRows.h"

#include "TestDirectory.h"
#include "dogwoodhall/dispatch/EndpointBook.h"

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };
const EndpointId endpoint("e");

EndpointBook bookOf(const std::vector<TestEndpoint>& endpoints)
{
    EndpointBook book;
    book.apply(*TestDirectory::make(endpoints), start);
    return book;
}

} // namespace

struct EvidenceRow {
    const char* name;
    EndpointEvidence evidence;
    unsigned times;
    double least; // Bounds of the share of failures afterwards.
    double most;
    bool isUsable;
};

const EvidenceRow evidenceRows[] = {
    { "served", EndpointEvidence::Served, 10, 0, 0, true },
    { "one server error", EndpointEvidence::ServerError, 1, 0.19, 0.21, true },
    { "ten server errors", EndpointEvidence::ServerError, 10, 0.85, 1, true },
    { "ten broken answers", EndpointEvidence::Broken, 10, 0.85, 1, true },
    { "overtaken often", EndpointEvidence::Overtaken, 10, 0.2, 0.31, true },
    { "refusals are no failures", EndpointEvidence::Refused, 10, 0, 0, true },
    { "callers that leave are no failures", EndpointEvidence::Unrelated, 10, 0, 0, true },
    { "another endpoint has the address", EndpointEvidence::Misdirected, 1, 0, 1, false },
};

// Guards against work for endpoints that fail, and against blame for what is not the endpoint's fault.
ParameterizedTestParameters(EndpointBook, weighsEvidence) { return rowIndices(evidenceRows); }

ParameterizedTest(std::size_t* index, EndpointBook, weighsEvidence)
{
    const auto& row = evidenceRows[*index];
    auto book = bookOf({ { "e" } });
    for (unsigned n = 0; n < row.times; ++n) {
        book.requestSent(endpoint, start);
        book.requestEnded(endpoint, start, row.evidence, start);
    }
    const double share = book.failureShare(endpoint, start);
    cr_expect(share >= row.least && share <= row.most, "%s: %f", row.name, share);
    cr_expect_eq(book.isUsable(endpoint, start), row.isUsable, "%s", row.name);
    cr_expect(book.failureShare(endpoint, start + 30s) < 0.01, "%s: not forgotten", row.name);
    cr_expect(book.find(endpoint)->sentAt.empty(), "%s: still in flight", row.name);
}

struct SilenceRow {
    const char* name;
    unsigned silent; // Health calls in a row.
    bool onReusedConnection;
    bool isUsable;
};

const SilenceRow silenceRows[] = {
    { "one lost call", 1, false, true },
    { "two lost calls", 2, false, false },
    { "calls lost with their connections", 5, true, true },
};

// Guards against a hung endpoint that keeps its work, and against avoiding all endpoints when connections fall silent.
ParameterizedTestParameters(EndpointBook, avoidsSilentEndpoints) { return rowIndices(silenceRows); }

ParameterizedTest(std::size_t* index, EndpointBook, avoidsSilentEndpoints)
{
    const auto& row = silenceRows[*index];
    auto book = bookOf({ { "e" } });
    for (unsigned n = 0; n < row.silent; ++n)
        book.healthUnanswered(endpoint, row.onReusedConnection, start);
    cr_expect_eq(book.isUsable(endpoint, start), row.isUsable, "%s", row.name);
    cr_expect(book.isUsable(endpoint, start + 2s), "%s: avoided for good", row.name);
    book.healthAnswered(endpoint, LoadReport { {}, {}, SlotCount(3), 1 }, HealthWord::Healthy, start + 1ms);
    cr_expect(book.isUsable(endpoint, start + 2ms), "%s: avoided after an answer", row.name);
}

// Guards against two requests of this process that both take the last free slot.
Test(EndpointBook, countsOwnRequestsSentAfterTheReport)
{
    auto book = bookOf({ { "e" } });
    book.requestSent(endpoint, start);
    book.healthAnswered(endpoint, LoadReport { SlotCount(1), {}, SlotCount(3), 1 }, HealthWord::Healthy, start + 1ms);
    book.requestSent(endpoint, start + 2ms);
    cr_expect_eq(book.currentLoad(endpoint)->running, SlotCount(2));
    book.requestEnded(endpoint, start + 2ms, EndpointEvidence::Served, start + 3ms);
    cr_expect_eq(book.currentLoad(endpoint)->running, SlotCount(1));
}

struct RunRow {
    const char* name;
    std::vector<TestEndpoint> later;
    bool isKnown;
    double failureShare;
};

const RunRow runRows[] = {
    { "the same run", { { "e" } }, true, 0.2 },
    { "a new run under the same id", { { "e", "a1", false, 2 } }, true, 0 },
    { "leaving", { { "e", "a1", true } }, false, 0 },
    { "gone", { { "f" } }, false, 0 },
};

// Guards against beliefs that outlive the run of an endpoint they are about.
ParameterizedTestParameters(EndpointBook, followsTheDirectory) { return rowIndices(runRows); }

ParameterizedTest(std::size_t* index, EndpointBook, followsTheDirectory)
{
    const auto& row = runRows[*index];
    auto book = bookOf({ { "e" } });
    book.requestSent(endpoint, start);
    book.requestEnded(endpoint, start, EndpointEvidence::Broken, start);
    book.apply(*TestDirectory::make(row.later), start);
    cr_expect_eq(book.find(endpoint) != nullptr, row.isKnown, "%s", row.name);
    cr_expect_eq(book.isUsable(endpoint, start), row.isKnown, "%s", row.name);
    cr_expect_float_eq(book.failureShare(endpoint, start), row.failureShare, 0.01, "%s", row.name);
}
