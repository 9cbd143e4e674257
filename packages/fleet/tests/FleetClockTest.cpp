#include "VirtualFleet.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;
using namespace std::chrono_literals;

struct SetBackRow {
    const char* name;
    std::size_t dataCentres;
    std::size_t perDataCentre;
    std::uint64_t earlierRuns; // Of the member that restarts, with higher incarnations.
};

const SetBackRow setBackRows[] = {
    { "one data centre", 1, 6, 3 },
    { "three data centres", 3, 6, 3 },
    { "two members", 1, 2, 1 },
};

// Guards against a member whose clock was set back between two runs, and whose peers ignore all that it says and send
// it nothing, because its incarnation is lower than that of the earlier run.
ParameterizedTestParameters(FleetClock, hearsAMemberWhoseClockWasSetBack) { return rowIndices(setBackRows); }

ParameterizedTest(std::size_t* index, FleetClock, hearsAMemberWhoseClockWasSetBack)
{
    constexpr Duration maxJoinTime = 5s;
    const auto& row = setBackRows[*index];
    const std::size_t late = row.dataCentres * row.perDataCentre - 1;
    VirtualFleet fleet(row.dataCentres, row.perDataCentre, 1);
    for (std::uint64_t n = 0; n < row.earlierRuns; ++n)
        fleet.restart(late);
    fleet.runFor(10s);
    fleet.node(late).self.incarnation = Incarnation();
    fleet.restart(late);
    fleet.runFor(maxJoinTime);
    fleet.node(0).revision = Revision(5);
    fleet.runFor(maxJoinTime);
    cr_expect_eq(fleet.node(late).revision, Revision(5), "%s: a change did not reach it", row.name);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        if (n == late)
            continue;
        const auto* claim = fleet.fleet(n).find(VirtualFleet::idOf(late));
        cr_assert(claim, "%s: unknown to node %zu", row.name, n);
        cr_expect(claim->state == MemberState::Alive, "%s: not alive for node %zu", row.name, n);
        cr_expect_eq(
            claim->incarnation, fleet.fleet(late).self().incarnation, "%s: node %zu knows another run", row.name, n);
        const auto* back = fleet.fleet(late).find(VirtualFleet::idOf(n));
        cr_expect(back && back->state == MemberState::Alive, "%s: it does not hear node %zu", row.name, n);
    }
}
