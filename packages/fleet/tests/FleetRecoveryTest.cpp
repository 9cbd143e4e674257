#include "VirtualFleet.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t dataCentres = 3;
constexpr std::size_t perDataCentre = 6;
constexpr int poolsPerDataCentre = 40;

PoolId poolOf(int n, std::size_t dataCentre)
{
    return { ServiceId("service-" + std::to_string(n)), DataCentreId("dc" + std::to_string(dataCentre)) };
}

bool serves(VirtualFleet& fleet, std::size_t n)
{
    const auto& node = fleet.node(n);
    return node.isRunning && !node.isPaused && node.fleet->self().state == MemberState::Alive;
}

// Index of the serving node with this id on this side, or the fleet's size.
std::size_t servingNode(VirtualFleet& fleet, const MemberId& id, int side)
{
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        if (fleet.node(n).self.id == id && serves(fleet, n) && fleet.node(n).side == side)
            return n;
    }
    return fleet.size();
}

// Checks that all serving nodes compute the same home for each pool, and that this home serves and is on the node's
// side of a partition. A data centre without a serving node on that side must have no home. Returns the number of pools
// whose home is `counted`.
int checkHomes(VirtualFleet& fleet, std::size_t counted)
{
    int homes = 0;
    for (int side = 0; side < 2; ++side) {
        for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
            bool hasServing = false;
            for (std::size_t n = dataCentre; n < fleet.size(); n += dataCentres)
                hasServing = hasServing || (serves(fleet, n) && fleet.node(n).side == side);
            for (int pool = 0; pool < poolsPerDataCentre; ++pool) {
                std::optional<MemberId> agreed;
                for (std::size_t n = 0; n < fleet.size(); ++n) {
                    if (!serves(fleet, n) || fleet.node(n).side != side)
                        continue;
                    const auto home = fleet.fleet(n).homeOf(poolOf(pool, dataCentre));
                    cr_assert_eq(home.has_value(), hasServing, "node %zu dc %zu", n, dataCentre);
                    if (!home)
                        continue;
                    cr_assert_lt(
                        servingNode(fleet, *home, side), fleet.size(), "node %zu names %s", n, home->value().c_str());
                    cr_assert(!agreed || *agreed == *home, "node %zu names %s, others %s", n, home->value().c_str(),
                        agreed ? agreed->value().c_str() : "");
                    agreed = home;
                }
                homes += agreed && *agreed == VirtualFleet::idOf(counted) ? 1 : 0;
            }
        }
    }
    return homes;
}

void stopDataCentre(VirtualFleet& fleet, std::size_t dataCentre)
{
    for (std::size_t n = dataCentre; n < fleet.size(); n += dataCentres)
        fleet.node(n).isRunning = false;
}

// Assigns the nodes for which `isOther` is true to side 1, the rest to side 0.
void split(VirtualFleet& fleet, bool (*isOther)(std::size_t))
{
    for (std::size_t n = 0; n < fleet.size(); ++n)
        fleet.node(n).side = isOther(n) ? 1 : 0;
}

bool isSecondHalf(std::size_t n) { return n >= dataCentres * perDataCentre / 2; }
bool isLastDataCentre(std::size_t n) { return n % dataCentres == dataCentres - 1; }
bool isNone(std::size_t) { return false; }

void replaceAll(VirtualFleet& fleet)
{
    const std::size_t old = fleet.size();
    const auto each = 3600s / static_cast<int>(old);
    for (std::size_t n = 0; n < old; ++n) {
        fleet.add(n % dataCentres);
        fleet.distributeHostList();
        fleet.runFor(each / 2);
        fleet.fleet(n).announceLeaving();
        fleet.runFor(each / 4);
        fleet.node(n).isRunning = false;
        fleet.unlist(n);
        fleet.runFor(each / 8);
        fleet.distributeHostList();
        fleet.runFor(each / 8);
    }
}

} // namespace

struct RecoveryRow {
    const char* name;
    void (*inject)(VirtualFleet&);
    std::chrono::seconds settle; // Time from the fault until homes agree.
    bool isNode0Home; // Whether node 0 is then the home of some pool.
};

const RecoveryRow recoveries[] = {
    { "nothing", [](VirtualFleet&) {}, 0s, true },
    { "a member joins",
        [](VirtualFleet& fleet) {
            fleet.add(0);
            fleet.distributeHostList();
        },
        10s, true },
    { "a member joins that is not in the other members' host list yet",
        [](VirtualFleet& fleet) { fleet.restart(fleet.add(0)); }, 10s, true },
    { "a member announces that it leaves", [](VirtualFleet& fleet) { fleet.fleet(0).announceLeaving(); }, 4s, false },
    { "a member leaves and stops",
        [](VirtualFleet& fleet) {
            fleet.fleet(0).announceLeaving();
            fleet.runFor(2s);
            fleet.node(0).isRunning = false;
        },
        4s, false },
    { "a member stops without notice", [](VirtualFleet& fleet) { fleet.node(0).isRunning = false; }, 8s, false },
    { "a member is paused", [](VirtualFleet& fleet) { fleet.pause(0); }, 8s, false },
    { "a member wakes after 30 s",
        [](VirtualFleet& fleet) {
            fleet.pause(0);
            fleet.runFor(30s);
            fleet.resume(0);
        },
        15s, true },
    { "a member restarts at once", [](VirtualFleet& fleet) { fleet.restart(0); }, 10s, true },
    { "a member restarts after it was gone",
        [](VirtualFleet& fleet) {
            fleet.node(0).isRunning = false;
            fleet.runFor(40s);
            fleet.restart(0);
        },
        15s, true },
    { "a partition divides each data centre", [](VirtualFleet& fleet) { split(fleet, isSecondHalf); }, 30s, true },
    { "a data centre is partitioned off", [](VirtualFleet& fleet) { split(fleet, isLastDataCentre); }, 30s, true },
    { "a partition heals after 3 minutes",
        [](VirtualFleet& fleet) {
            split(fleet, isSecondHalf);
            fleet.runFor(180s);
            split(fleet, isNone);
        },
        30s, true },
    { "a partition heals while a member is paused",
        [](VirtualFleet& fleet) {
            split(fleet, isSecondHalf);
            fleet.runFor(60s);
            fleet.pause(0);
            split(fleet, isNone);
        },
        40s, false },
    { "a region is lost", [](VirtualFleet& fleet) { stopDataCentre(fleet, 2); }, 30s, true },
    { "a region comes back with new runs",
        [](VirtualFleet& fleet) {
            stopDataCentre(fleet, 2);
            fleet.runFor(120s);
            for (std::size_t n = 2; n < fleet.size(); n += dataCentres)
                fleet.restart(n);
        },
        30s, true },
    { "all members restart at once",
        [](VirtualFleet& fleet) {
            for (std::size_t n = 0; n < fleet.size(); ++n)
                fleet.restart(n);
        },
        15s, true },
    { "every host is replaced within an hour", replaceAll, 10s, false },
    { "a tenth of the messages is lost, then none",
        [](VirtualFleet& fleet) {
            fleet.setLoss(0.1);
            fleet.runFor(60s);
            fleet.setLoss(0);
        },
        30s, true },
};

// Guards against members that keep using a home that is gone, or that never agree on homes again after a fault.
ParameterizedTestParameters(FleetRecovery, homesAgree) { return rowIndices(recoveries); }

ParameterizedTest(std::size_t* index, FleetRecovery, homesAgree)
{
    const RecoveryRow& row = recoveries[*index];
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        VirtualFleet fleet(dataCentres, perDataCentre, seed);
        fleet.runFor(15s);
        checkHomes(fleet, 0);
        row.inject(fleet);
        fleet.runFor(row.settle);
        const int homes = checkHomes(fleet, 0);
        cr_assert_eq(
            homes > 0, row.isNode0Home, "%s, seed %zu: %d homes", row.name, static_cast<std::size_t>(seed), homes);
    }
}

struct ResumeRow {
    std::chrono::seconds pause;
    bool expires;
};

const ResumeRow resumes[] = { { 1s, false }, { 3s, true }, { 30s, true }, { 600s, true } };

// Guards against a process that places requests by homes known before it was paused. Messages that were queued in its
// sockets do not confirm them either.
ParameterizedTestParameters(FleetRecovery, resumedProcessUsesNoStaleHome) { return rowIndices(resumes); }

ParameterizedTest(std::size_t* index, FleetRecovery, resumedProcessUsesNoStaleHome)
{
    const ResumeRow& row = resumes[*index];
    VirtualFleet fleet(dataCentres, perDataCentre, 7);
    fleet.runFor(15s);
    fleet.pause(0);
    fleet.runFor(row.pause);
    fleet.resume(0);
    RandomEngine random(1);
    fleet.fleet(0).tick({ fleet.now(), random });
    for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
        for (int pool = 0; pool < poolsPerDataCentre; ++pool)
            cr_assert_eq(fleet.fleet(0).homeOf(poolOf(pool, dataCentre)).has_value(), !row.expires);
    }
    fleet.runFor(20s);
    cr_assert_gt(checkHomes(fleet, 0), 0);
}

struct WatcherRow {
    std::size_t perDataCentre;
    std::size_t stopped;
    std::size_t watchers; // In each data centre.
};

const WatcherRow watcherRows[] = { { 1, 0, 1 }, { 2, 0, 2 }, { 6, 0, 2 }, { 20, 0, 2 }, { 6, 3, 2 }, { 2, 1, 1 } };

// Guards against a data centre without a watcher of the platform, and against a fleet in which all members watch it.
ParameterizedTestParameters(FleetRecovery, twoWatchersPerDataCentre) { return rowIndices(watcherRows); }

ParameterizedTest(std::size_t* index, FleetRecovery, twoWatchersPerDataCentre)
{
    const WatcherRow& row = watcherRows[*index];
    VirtualFleet fleet(dataCentres, row.perDataCentre, 11);
    fleet.runFor(20s);
    for (std::size_t n = 0; n < row.stopped * dataCentres; ++n)
        fleet.node(n).isRunning = false;
    fleet.runFor(20s);
    std::size_t watchers = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n)
        watchers += fleet.node(n).isRunning && fleet.fleet(n).isWatcher() ? 1 : 0;
    cr_assert_eq(watchers, row.watchers * dataCentres, "%zu watchers", watchers);
}
