// Prints, in virtual time, how long one change takes to reach all members by gossip: with real Fleet aggregates for up
// to a thousand members, and beyond that with a model that keeps only each member's revision and chooses peers in the
// same way. At the start two members of each data centre hold the change, as its watchers do.
#include "../tests/VirtualFleet.h"

#include <cstdio>
#include <cstdlib>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t dataCentres = 7;

struct Spread {
    double half = 0; // Seconds until half of the members hold the change.
    double nearlyAll = 0; // 99%.
    double all = 0;
    double bytesPerSecond = 0; // Sent by a member; the record itself is empty.
    double records = 0; // Sent by a member for the one change.
};

// Records the time at which each share is reached; returns true once all members hold the change.
bool recordProgress(Spread& spread, std::size_t holders, std::size_t members, double seconds)
{
    if (spread.half == 0 && 2 * holders >= members)
        spread.half = seconds;
    if (spread.nearlyAll == 0 && 100 * holders >= 99 * members)
        spread.nearlyAll = seconds;
    if (holders == members)
        spread.all = seconds;
    return holders == members;
}

std::map<DataCentreId, RegionId> regions()
{
    std::map<DataCentreId, RegionId> regions;
    for (std::size_t n = 0; n < dataCentres; ++n)
        regions[DataCentreId("dc" + std::to_string(n))] = RegionId("region" + std::to_string(n % 3));
    return regions;
}

Spread runFleet(std::size_t members, double loss, std::chrono::seconds warmUp, std::uint64_t seed)
{
    VirtualFleet fleet(dataCentres, members / dataCentres, seed);
    fleet.setRegions(regions());
    fleet.runFor(warmUp);
    fleet.setLoss(loss);
    fleet.runFor(10s);
    std::uint64_t bytesBefore = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n)
        bytesBefore += fleet.node(n).bytes;
    for (std::size_t n = 0; n < 2 * dataCentres; ++n)
        fleet.node(n).revision = Revision(1);
    Spread spread;
    for (double seconds = 0; seconds < 120; seconds += 0.05) {
        std::size_t holders = 0;
        for (std::size_t n = 0; n < fleet.size(); ++n)
            holders += fleet.node(n).revision == Revision(1) ? 1 : 0;
        if (recordProgress(spread, holders, fleet.size(), seconds))
            break;
        fleet.runFor(50ms);
    }
    std::uint64_t bytes = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        bytes += fleet.node(n).bytes;
        spread.records += static_cast<double>(fleet.node(n).records) / static_cast<double>(fleet.size());
    }
    spread.bytesPerSecond = static_cast<double>(bytes - bytesBefore) / static_cast<double>(fleet.size()) / spread.all;
    return spread;
}

// Prints the seconds until a joining member computes the same homes as the others, for the pools of its own data centre
// and for all pools.
void printJoin(std::size_t members, std::chrono::seconds warmUp, std::uint64_t seed)
{
    VirtualFleet fleet(dataCentres, members / dataCentres, seed);
    fleet.setRegions(regions());
    fleet.runFor(warmUp);
    const std::size_t joiner = fleet.add(0);
    fleet.fleet(joiner).setRegions(regions());
    fleet.distributeHostList();
    const auto agrees = [&](std::size_t dataCentre) {
        for (int pool = 0; pool < 200; ++pool) {
            const PoolId id { ServiceId("service-" + std::to_string(pool)),
                DataCentreId("dc" + std::to_string(dataCentre)) };
            const auto home = fleet.fleet(joiner).homeOf(id);
            if (!home || *home != fleet.fleet(dataCentres).homeOf(id))
                return false;
        }
        return true;
    };
    double own = 0;
    for (double seconds = 0; seconds < 300; seconds += 0.1) {
        std::size_t agreed = 0;
        for (std::size_t n = 0; n < dataCentres; ++n)
            agreed += agrees(n) ? 1 : 0;
        own = own == 0 && agrees(0) ? seconds : own;
        if (agreed == dataCentres) {
            std::printf(
                "a member joins %zu others: own data centre's homes %.1f s, all %.1f s\n", members, own, seconds);
            return;
        }
        fleet.runFor(100ms);
    }
    std::printf("a member joins %zu others: homes differ after 300 s\n", members);
}

// Prints the seconds until a sample of the members computes the same homes in all data centres after all members have
// started at once.
void printStart(std::size_t members, std::uint64_t seed)
{
    VirtualFleet fleet(dataCentres, members / dataCentres, seed);
    fleet.setRegions(regions());
    const auto agree = [&] {
        for (int pool = 0; pool < 100; ++pool) {
            const PoolId id { ServiceId("service-" + std::to_string(pool)),
                DataCentreId("dc" + std::to_string(static_cast<std::size_t>(pool) % dataCentres)) };
            const auto home = fleet.fleet(0).homeOf(id);
            for (std::size_t n = 0; n < fleet.size(); n += 1 + fleet.size() / 30) {
                if (!home || fleet.fleet(n).homeOf(id) != home)
                    return false;
            }
        }
        return true;
    };
    for (double seconds = 0; seconds < 300; seconds += 0.5) {
        if (agree()) {
            std::printf("%zu members start at once: homes agree after %.1f s\n", members, seconds);
            return;
        }
        fleet.runFor(500ms);
    }
    std::printf("%zu members start at once: homes differ after 300 s\n", members);
}

class ReducedFleet {
public:
    ReducedFleet(std::size_t members, double loss, std::uint64_t seed)
        : m_holds(members)
        , m_loss(loss)
        , m_random(seed)
    {
        std::fill_n(m_holds.begin(), 2 * dataCentres, true);
    }

    Spread run()
    {
        Spread spread;
        const std::size_t members = m_holds.size();
        // Members tick at different times within a period: a tenth of them in each step, by index.
        constexpr std::size_t phases = 10;
        for (std::size_t step = 0; step < 2400; ++step) {
            const auto holders = static_cast<std::size_t>(std::count(m_holds.begin(), m_holds.end(), true));
            if (recordProgress(spread, holders, members, 0.05 * static_cast<double>(step)))
                break;
            for (std::size_t n = step % phases; n < members; n += phases) {
                exchange(n, peerIn(n % dataCentres));
                exchange(n, secondPeer(n, step / phases));
            }
        }
        return spread;
    }

private:
    std::size_t pick(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random); }

    std::size_t peerIn(std::size_t dataCentre)
    {
        return dataCentre + dataCentres * pick((m_holds.size() - dataCentre - 1) / dataCentres + 1);
    }

    std::size_t secondPeer(std::size_t member, std::size_t period)
    {
        const bool crossesRegion = period % FleetLimits().otherRegionPeriods == 0;
        const std::size_t own = member % dataCentres;
        while (true) {
            const std::size_t other = pick(dataCentres);
            if (other != own && (other % 3 != own % 3) == crossesRegion)
                return peerIn(other);
        }
    }

    bool isLost() { return std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss; }

    void exchange(std::size_t from, std::size_t to)
    {
        if (isLost() || isLost())
            return;
        // The reply carries the change to the requester; a follow-up exchange carries it to the other side.
        if (m_holds[to])
            m_holds[from] = true;
        else if (m_holds[from] && !isLost())
            m_holds[to] = true;
    }

    std::vector<bool> m_holds;
    double m_loss;
    RandomEngine m_random;
};

void print(const char* state, std::size_t members, double loss, const Spread& spread)
{
    std::printf("%-8s %6zu members, %2.0f%% lost: half %.2f s, 99%% %.2f s, all %.2f s", state, members, 100 * loss,
        spread.half, spread.nearlyAll, spread.all);
    if (spread.bytesPerSecond > 0)
        std::printf(", a member sends %.0f B/s and %.2f records", spread.bytesPerSecond, spread.records);
    std::printf("\n");
}

} // namespace

// Arguments: the size of the largest fleet of real aggregates, the seconds that it runs before the change, and the
// seed. All members start at once, and it takes about a minute until claims about that no longer circulate.
int main(int argc, char** argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0); // Shows each line of a long run as soon as it is measured.
    const std::size_t largest = argc > 1 ? static_cast<std::size_t>(std::atoi(argv[1])) : 497;
    const std::chrono::seconds warmUp(argc > 2 ? std::atoi(argv[2]) : 20);
    const std::uint64_t seed = argc > 3 ? static_cast<std::uint64_t>(std::atoi(argv[3])) : 1;
    for (const std::size_t members : { 21, 105, 497, 994 }) {
        if (members <= largest)
            printJoin(members, warmUp, seed);
    }
    for (const std::size_t members : { 21, 105, 497, 994 }) {
        if (members <= largest)
            printStart(members, seed);
    }
    for (const double loss : { 0.0, 0.05, 0.2 }) {
        for (const std::size_t members : { 21, 105, 497, 994 }) {
            if (members <= largest)
                print("real", members, loss, runFleet(members, loss, warmUp, seed));
        }
        for (const std::size_t members : { 994, 3003, 6006, 12'005 })
            print("reduced", members, loss, ReducedFleet(members, loss, seed).run());
    }
    return 0;
}
