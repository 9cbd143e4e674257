#include "dogwoodhall/routing/PoolChooser.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <set>
#include <sstream>

using namespace dogwoodhall;

struct ChooserRow {
    const char* guardsAgainst;
    // Of a1 (local) and a2 in one region, b1 and b2 in another; -1: unreachable, -2: accepts no work, -3: not listed.
    int waitMs[4];
    unsigned linkBytes; // Remaining link budget; each request takes 100 bytes.
    const char* chosen; // All pools that may be chosen, in order; empty if none.
    // Pools that refused: "-" for lack of endpoints, "+" for lack of capacity, "!" because the deadline passed.
    const char* refusals = "";
    bool isNearest = false; // Calls chooseNearest() in place of choose().
    const char* undeclared = ""; // A data centre that the topology does not declare.
};

const ChooserRow rows[] = {
    { "leaving the local data centre needlessly", { 0, 0, 0, 0 }, 1000, "a1 " },
    { "spilling for a gain below the round trip", { 3, 0, 0, 0 }, 1000, "a1 " },
    { "waiting while another data centre of the region is idle", { 5, 0, 0, 0 }, 1000, "a2 " },
    { "crossing regions for less than the round trip", { 25, 25, 0, 0 }, 1000, "a1 " },
    { "waiting while only another region is idle", { 30, 30, 0, 30 }, 1000, "b1 " },
    { "preferring another region to a data centre of the region", { 90, 30, 0, 0 }, 1000, "a2 " },
    { "crossing regions beyond the link budget", { 30, 30, 0, 0 }, 50, "a1 " },
    { "all spilling to the same pool", { 90, 90, 0, 0 }, 1000, "b1 b2 " },
    { "an unreachable home", { -1, 50, 0, 0 }, 1000, "a2 " },
    { "a pool that accepts no work", { -2, -2, 70, -1 }, 1000, "b1 " },
    { "exceeding the link budget to replace a lost region", { -1, -1, 0, 0 }, 50, "" },
    { "a choice while no pool accepts work", { -1, -2, -1, -2 }, 1000, "" },
    { "failing on dead endpoints while another pool has capacity", { 0, 0, 0, 0 }, 1000, "b1 b2 ", "a1- a2-" },
    { "a pool tried twice", { 0, 0, 0, 0 }, 1000, "b2 ", "a1- a2- b1-" },
    { "passing over the local pool", { 30, 0, 0, 0 }, 1000, "a1 ", "a2-" },
    { "trying busy pools in a demand peak because another pool is dead", { 0, 40, 30, 10 }, 1000, "b2 ", "a1- a2+" },
    { "trying all pools with each request in an overload", { 90, 40, 0, 0 }, 1000, "", "a1+ a2+" },
    { "unlimited attempts while no pool responds", { 0, 0, 0, 0 }, 1000, "", "a1- a2- c1- c2-" },
    { "another attempt after the deadline", { 0, 0, 0, 0 }, 1000, "", "a1!" },
    { "crossing regions for dead endpoints beyond the budget", { 0, 0, 0, 0 }, 50, "", "a1- a2-" },
    { "leaving the local data centre while nothing is reachable", { -1, -1, -1, -1 }, 1000, "a1 ", "", true },
    { "crossing regions before trying the local one", { -3, -1, -1, -1 }, 50, "a2 ", "", true },
    { "an unreachable region that is not tried", { -3, -3, -1, -1 }, 1000, "b1 ", "", true },
    { "an unreachable region tried beyond the link budget", { -3, -3, -1, -1 }, 50, "", "", true },
    { "treating an undeclared data centre as local", { -3, -1, -3, -3 }, 50, "", "", true, "a2" },
    { "treating the undeclared own data centre as remote", { -1, -1, -1, -1 }, 50, "a1 ", "", true, "a1" },
    { "spilling to an undeclared data centre beyond the link budget", { 90, 0, -3, -3 }, 50, "a1 ", "", false, "a2" },
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
        if (std::string(names[n]) != row.undeclared)
            topology.dataCentres.push_back({ DataCentreId(names[n]), RegionId(std::string(1, names[n][0])) });
        if (row.waitMs[n] == -3)
            continue;
        const Duration wait = row.waitMs[n] == -2 ? Duration::max() : std::chrono::milliseconds(row.waitMs[n]);
        states.push_back({ DataCentreId(names[n]), wait, row.waitMs[n] != -1, {} });
    }
    RandomEngine random(3);
    const auto refusals = parseRefusals(row.refusals);
    std::set<std::string> chosenNames;
    for (int n = 0; n < 50; ++n) {
        LinkBudget link(ByteCount(1000), std::chrono::seconds(1), TimePoint());
        link.charge(ByteCount(1000 - row.linkBytes), TimePoint());
        PoolChooser chooser(topology, DataCentreId("a1"));
        const DecisionContext context { TimePoint(), random };
        const auto choice = row.isNearest ? chooser.chooseNearest(states, ByteCount(100), link, TimePoint())
            : refusals.empty()            ? chooser.choose(states, ByteCount(100), link, context)
                                          : chooser.chooseAfterRefusal(states, refusals, ByteCount(100), link, context);
        if (choice)
            chosenNames.insert(choice->dataCentre.value());
        const bool isCharged = link.available(TimePoint()) < row.linkBytes;
        cr_assert_eq(isCharged, choice && choice->isOtherRegion, "guards against %s: wrong charge", row.guardsAgainst);
    }
    std::string chosen;
    for (const auto& name : chosenNames)
        chosen += name + " ";
    cr_assert_str_eq(chosen.c_str(), row.chosen, "guards against %s: got \"%s\"", row.guardsAgainst, chosen.c_str());
}

struct StaleRow {
    const char* guardsAgainst;
    int ownWaitMs;
    int otherWaitMs; // Wait at the only other pool, which is in another region.
    unsigned ageMs;
    bool isAfterRefusal;
    unsigned crossings; // Out of 10 requests, 50 ms apart.
};

const StaleRow staleRows[] = {
    { "waiting while a fresh wait in another region is short", 90, 0, 50, false, 10 },
    { "all members crossing regions on a stale wait", 90, 0, 300, false, 3 },
    { "never detecting that another region is idle", 90, 0, 5000, false, 3 },
    { "retrying everywhere during a demand peak", 30, 20, 50, true, 0 },
    { "refusing while another region is idle", 30, 0, 50, true, 10 },
    { "retrying on a stale wait", 30, 0, 300, true, 3 },
    { "only trial requests after the loss of the local data centre", -1, 0, 300, false, 10 },
};

ParameterizedTestParameters(PoolChooser, distrustsStaleWaits) { return rowIndices(staleRows); }

ParameterizedTest(std::size_t* index, PoolChooser, distrustsStaleWaits)
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
