#include "TableRows.h"

#include "dogwoodhall/fleet/FleetCensus.h"

#include <string>
#include <vector>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

struct Observation {
    Duration at; // Since the start.
    std::size_t alive; // Other members, in data centre a and b in turn.
    std::size_t gone; // Further ones.
};

struct CensusRow {
    const char* name;
    std::size_t dataCentres;
    bool hasSeeds;
    std::vector<Observation> observations;
    std::size_t size;
    std::optional<Duration> stableSince; // Since the start.
};

const CensusRow rows[] = {
    { "alone by its settings", 1, false, { { 0s, 0, 0 } }, 1, 0s },
    { "alone by its settings, endpoints in other data centres", 3, false, { { 0s, 0, 0 } }, 1, 0s },
    { "others must exist, none is known", 1, true, { { 5s, 0, 0 } }, 1, std::nullopt },
    { "unknown data centres count as the known ones", 9, true, { { 1s, 0, 0 } }, 9, std::nullopt },
    { "one other known, seven data centres unknown", 9, true, { { 1s, 1, 0 } }, 9, 1s },
    { "growth", 2, true, { { 1s, 5, 0 }, { 2s, 9, 0 }, { 3s, 9, 0 } }, 10, 2s },
    { "members gone lately count", 2, true, { { 1s, 9, 0 }, { 20s, 7, 2 }, { 70s, 7, 2 } }, 10, 1s },
    { "members gone for longer do not", 2, true, { { 1s, 9, 0 }, { 20s, 7, 2 }, { 81s, 7, 0 } }, 8, 1s },
    { "a half that is cut off counts all", 2, true, { { 1s, 9, 0 }, { 20s, 4, 5 }, { 500s, 4, 0 } }, 10, 1s },
    { "a member that returns is no growth", 2, true, { { 1s, 9, 0 }, { 20s, 7, 2 }, { 30s, 9, 0 } }, 10, 1s },
};

std::vector<Member> membersOf(const Observation& observation)
{
    std::vector<Member> members;
    for (std::size_t n = 0; n < observation.alive + observation.gone; ++n) {
        Member member;
        member.id = MemberId("m" + std::to_string(n));
        member.dataCentre = DataCentreId(n % 2 == 0 ? "b" : "a");
        member.state = n < observation.alive ? MemberState::Alive : MemberState::Gone;
        members.push_back(member);
    }
    return members;
}

} // namespace

// Guards against limits that grow when members are not heard of, or before they are known.
ParameterizedTestParameters(FleetCensus, estimatesTheFleet) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, FleetCensus, estimatesTheFleet)
{
    const auto& row = rows[*index];
    FleetCensus census({ DataCentreId("a"), row.hasSeeds, row.dataCentres }, start);
    for (const auto& observation : row.observations) {
        const auto members = membersOf(observation);
        std::vector<const Member*> others;
        for (const auto& member : members)
            others.push_back(&member);
        census.observe(others, start + observation.at);
    }
    cr_expect_eq(census.size(), row.size, "%s: %zu", row.name, census.size());
    const auto stable = census.stableSince();
    cr_assert_eq(stable.has_value(), row.stableSince.has_value(), "%s", row.name);
    if (stable)
        cr_expect(*stable == start + *row.stableSince, "%s: stable since %f s", row.name, toSeconds(*stable - start));
}
