#include "TableRows.h"

#include "dogwoodhall/fleet/Fleet.h"

#include <algorithm>

using namespace dogwoodhall;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };
const NetworkAddress ownAddress { "10.0.0.1", 7000 };
const NetworkAddress seedAddress { "10.0.0.2", 7000 };

Member member(const char* id, const NetworkAddress& address)
{
    Member member;
    member.id = MemberId(id);
    member.dataCentre = DataCentreId("dc");
    member.peerAddress = address;
    member.incarnation = Incarnation(1);
    return member;
}

Fleet::Hooks emptyHooks()
{
    return { [] { return ConfigurationDigest {}; }, [](Revision, ByteCount) { return std::vector<Record> {}; },
        [](ByteCount) { return std::vector<Record> {}; }, [](std::size_t) { return std::vector<PoolLoadSummary> {}; } };
}

// Addresses that a tick starts exchanges with.
std::vector<NetworkAddress> contacted(Fleet& fleet, TimePoint now)
{
    RandomEngine random(1);
    std::vector<NetworkAddress> addresses;
    for (const auto& action : fleet.tick({ now, random })) {
        if (const auto* exchange = std::get_if<Exchange>(&action))
            addresses.push_back(exchange->address);
    }
    return addresses;
}

} // namespace

struct SeedRow {
    const char* name;
    NetworkAddress seed;
    bool isContacted;
};

const SeedRow rows[] = {
    { "another host", seedAddress, true },
    { "this host itself", ownAddress, false },
};

// Guards against members that do not find one another where no host list names them.
ParameterizedTestParameters(FleetSeeds, areContacted) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, FleetSeeds, areContacted)
{
    const auto& row = rows[*index];
    Fleet fleet(member("self", ownAddress), emptyHooks());
    const std::vector<NetworkAddress> seeds { row.seed };
    fleet.applySeeds(seeds, start);
    cr_expect_eq(!contacted(fleet, start).empty(), row.isContacted, "%s", row.name);
}

// Guards against a seed that is counted as a member beside the one that runs there.
Test(FleetSeeds, becomeTheMemberThatAnswers)
{
    Fleet fleet(member("self", ownAddress), emptyHooks());
    const std::vector<NetworkAddress> seeds { seedAddress };
    fleet.applySeeds(seeds, start);
    contacted(fleet, start);
    GossipMessage reply;
    reply.kind = GossipMessage::Kind::Reply;
    reply.sender = member("other", seedAddress);
    fleet.handle(reply, start);
    cr_expect_eq(fleet.size(), 2);
    cr_assert_eq(fleet.others().size(), 1);
    cr_expect_eq(fleet.others().front()->id, MemberId("other"));
}

// Guards against news that waits for the next period although this member has just read it.
Test(FleetSeeds, spreadsRecordsToTheDataCentre)
{
    Fleet fleet(member("self", ownAddress), emptyHooks());
    GossipMessage request;
    request.sender = member("other", seedAddress);
    fleet.handle(request, start);
    const auto actions = fleet.spreadRecords(Revision(3), start);
    const bool isSpread = std::any_of(actions.begin(), actions.end(), [](const FleetAction& action) {
        const auto* exchange = std::get_if<Exchange>(&action);
        return exchange && exchange->address == seedAddress;
    });
    cr_expect(isSpread);
}
