#include "dogwoodhall/routing/PoolChooser.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <set>
#include <sstream>

using namespace dogwoodhall;

struct ChooserRow {
    const char* guardsAgainst;
    int waitMs[4]; // Of a1 (own) and a2 in one region, b1 and b2 in another; -1: unreachable, -2: takes no work, -3:
                   // none.
    unsigned linkBytes; // Left in the link budget; each request takes 100.
    const char* chosen; // All that may be chosen, in order; empty: none.
    // Pools that refused: "-" for lack of endpoints, "+" for lack of room, "!" since the deadline passed.
    const char* refusals = "";
    bool isNearest = false; // Chosen where nothing is reachable.
    const char* unnamed = ""; // A data centre that the topology does not name.
};

const ChooserRow rows[] = {
    { "leaving the own data centre without need", { 0, 0, 0, 0 }, 1000, "a1 " },
    { "spilling for a gain smaller than the hop", { 3, 0, 0, 0 }, 1000, "a1 " },
    { "waiting where the next data centre is idle", { 5, 0, 0, 0 }, 1000, "a2 " },
    { "crossing regions for less than the round trip", { 25, 25, 0, 0 }, 1000, "a1 " },
    { "waiting where only another region is idle", { 30, 30, 0, 30 }, 1000, "b1 " },
    { "preferring another region to the next data centre", { 90, 30, 0, 0 }, 1000, "a2 " },
    { "crossing regions beyond the link budget", { 30, 30, 0, 0 }, 50, "a1 " },
    { "all spilling to the same pool", { 90, 90, 0, 0 }, 1000, "b1 b2 " },
    { "an unreachable home", { -1, 50, 0, 0 }, 1000, "a2 " },
    { "a pool that takes no work", { -2, -2, 70, -1 }, 1000, "b1 " },
    { "a lost region reached beyond the link budget", { -1, -1, 0, 0 }, 50, "" },
    { "a choice where nothing takes work", { -1, -2, -1, -2 }, 1000, "" },
    { "failing on dead endpoints while a pool has room", { 0, 0, 0, 0 }, 1000, "b1 b2 ", "a1- a2-" },
    { "a pool tried twice", { 0, 0, 0, 0 }, 1000, "b2 ", "a1- a2- b1-" },
    { "a long way round the own pool", { 30, 0, 0, 0 }, 1000, "a1 ", "a2-" },
    { "a dead pool that lets a swing try the busy ones", { 0, 40, 30, 10 }, 1000, "b2 ", "a1- a2+" },
    { "an overload that makes each request try all pools", { 90, 40, 0, 0 }, 1000, "", "a1+ a2+" },
    { "a request without end where nothing answers", { 0, 0, 0, 0 }, 1000, "", "a1- a2- c1- c2-" },
    { "another attempt after the deadline", { 0, 0, 0, 0 }, 1000, "", "a1!" },
    { "crossing regions for dead endpoints beyond the budget", { 0, 0, 0, 0 }, 50, "", "a1- a2-" },
    { "leaving the own data centre where nothing is reachable", { -1, -1, -1, -1 }, 1000, "a1 ", "", true },
    { "crossing regions before the own one", { -3, -1, -1, -1 }, 50, "a2 ", "", true },
    { "an unreachable region that is not tried", { -3, -3, -1, -1 }, 1000, "b1 ", "", true },
    { "an unreachable region tried beyond the link budget", { -3, -3, -1, -1 }, 50, "", "", true },
    { "an unnamed data centre taken for a near one", { -3, -1, -3, -3 }, 50, "", "", true, "a2" },
    { "an unnamed own data centre taken for a far one", { -1, -1, -1, -1 }, 50, "a1 ", "", true, "a1" },
    { "spilling to an unnamed data centre beyond the link budget", { 90, 0, -3, -3 }, 50, "a1 ", "", false, "a2" },
};

namespace {

std::vector<PoolRefusal> parseRefusals(const char* text)
{
    std::vector<PoolRefusal> refusals;
    std::istringstream in(text);
    for (std::string item; in >> item;) {
        const auto kind = item.back() == '-' ? ErrorKind::NoEndpoint
            : item.back() == '+'             ? ErrorKind::QueueFull
                                             : ErrorKind::DeadlineExceeded;
        refusals.push_back({ DataCentreId(item.substr(0, 2)), kind });
    }
    return refusals;
}

} // namespace

ParameterizedTestParameters(PoolChooser, chooses) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, PoolChooser, chooses)
{
    const ChooserRow& row = rows[*index];
    const char* names[] = { "a1", "a2", "b1", "b2" };
    TopologyDeclaration topology;
    std::vector<PoolState> states;
    for (std::size_t n = 0; n < 4; ++n) {
        if (std::string(names[n]) != row.unnamed)
            topology.dataCentres.push_back({ DataCentreId(names[n]), RegionId(std::string(1, names[n][0])) });
        if (row.waitMs[n] == -3)
            continue;
        const Duration wait = row.waitMs[n] == -2 ? Duration::max() : std::chrono::milliseconds(row.waitMs[n]);
        states.push_back({ DataCentreId(names[n]), wait, row.waitMs[n] != -1, {} });
    }
    RandomEngine random(3);
    const auto refusals = parseRefusals(row.refusals);
    std::set<std::string> seen;
    for (int n = 0; n < 50; ++n) {
        LinkBudget link(ByteCount(1000), std::chrono::seconds(1), TimePoint());
        link.charge(ByteCount(1000 - row.linkBytes), TimePoint());
        PoolChooser chooser(topology, DataCentreId("a1"));
        const DecisionContext context { TimePoint(), random };
        const auto choice = row.isNearest ? chooser.chooseNearest(states, ByteCount(100), link, TimePoint())
            : refusals.empty()            ? chooser.choose(states, ByteCount(100), link, context)
                                          : chooser.chooseAfterRefusal(states, refusals, ByteCount(100), link, context);
        if (choice)
            seen.insert(choice->dataCentre.value());
        const bool isCharged = link.available(TimePoint()) < row.linkBytes;
        cr_assert_eq(isCharged, choice && choice->isOtherRegion, "guards against %s: wrong charge", row.guardsAgainst);
    }
    std::string chosen;
    for (const auto& name : seen)
        chosen += name + " ";
    cr_assert_str_eq(chosen.c_str(), row.chosen, "guards against %s: got \"%s\"", row.guardsAgainst, chosen.c_str());
}

struct StaleRow {
    const char* guardsAgainst;
    int ownWaitMs;
    int otherWaitMs; // Of the only other pool, in another region.
    unsigned ageMs;
    bool isAfterRefusal;
    unsigned crossings; // Of 10 requests, 50 ms apart.
};

const StaleRow staleRows[] = {
    { "waiting where a fresh wait in another region is short", 90, 0, 50, false, 10 },
    { "all members crossing regions on a stale wait", 90, 0, 300, false, 3 },
    { "never learning that another region is idle", 90, 0, 5000, false, 3 },
    { "retrying everywhere during a swing", 30, 20, 50, true, 0 },
    { "refusing while another region is idle", 30, 0, 50, true, 10 },
    { "retrying on a stale wait", 30, 0, 300, true, 3 },
    { "a lost own data centre served by trials only", -1, 0, 300, false, 10 },
};

ParameterizedTestParameters(PoolChooser, mindsTheAgeOfWaits) { return rowIndices(staleRows); }

ParameterizedTest(std::size_t* index, PoolChooser, mindsTheAgeOfWaits)
{
    const StaleRow& row = staleRows[*index];
    using std::chrono::milliseconds;
    TopologyDeclaration topology;
    topology.dataCentres = { { DataCentreId("a1"), RegionId("a") }, { DataCentreId("b1"), RegionId("b") } };
    const std::vector<PoolState> states {
        { DataCentreId("a1"), milliseconds(row.ownWaitMs), row.ownWaitMs >= 0, {} },
        { DataCentreId("b1"), milliseconds(row.otherWaitMs), true, milliseconds(row.ageMs) },
    };
    PoolChooser chooser(topology, DataCentreId("a1"));
    LinkBudget link(ByteCount(1'000'000), std::chrono::seconds(1), TimePoint());
    RandomEngine random(3);
    unsigned crossings = 0;
    for (unsigned n = 0; n < 10; ++n) {
        const DecisionContext context { TimePoint(milliseconds(50 * n)), random };
        const auto choice = row.isAfterRefusal
            ? chooser.chooseAfterRefusal(states, parseRefusals("a1+"), ByteCount(1), link, context)
            : chooser.choose(states, ByteCount(1), link, context);
        crossings += choice && choice->isOtherRegion ? 1 : 0;
    }
    cr_assert_eq(crossings, row.crossings, "guards against %s: got %u", row.guardsAgainst, crossings);
}
