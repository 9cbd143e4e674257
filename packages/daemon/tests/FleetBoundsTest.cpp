#include "TableRows.h"

#include "RegistryFleet.h"

#include "dogwoodhall/budget/RetryAllowance.h"
#include "dogwoodhall/fleet/FleetCensus.h"

#include <deque>
#include <random>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr RetryLimits limits { Fraction(0.2), 10s, 212 };
constexpr Duration step = 100ms;
constexpr std::size_t stepsPerWindow = 100;

// Members that each retry as often as their allowance lets them, on the path from the fleet's real membership to the
// allowance.
class HungryFleet {
public:
    HungryFleet(std::size_t members, double requestsPerSecond)
        : m_fleet(members, 10, 1)
        , m_arrivals(requestsPerSecond * toSeconds(step) / static_cast<double>(members))
        , m_spenders(members)
    {
    }

    RegistryFleet& fleet() { return m_fleet; }

    void runFor(Duration duration)
    {
        for (Duration at {}; at < duration; at += step) {
            m_fleet.runFor(step);
            m_requests.push_back(0);
            m_retries.push_back(0);
            for (std::size_t n = 0; n < m_fleet.size(); ++n)
                spend(n);
            checkWindow();
        }
    }

    // The largest number of retries beyond the limit in any window.
    double worstExcess() const { return m_worstExcess; }
    // Retries in the last window.
    double lastRetries() const { return sum(m_retries, 0); }

private:
    struct Spender {
        std::uint64_t run = 0;
        std::optional<FleetCensus> census;
        std::optional<RetryAllowance> allowance;
    };

    void spend(std::size_t index)
    {
        auto& node = m_fleet.node(index);
        auto& it = m_spenders[index];
        if (!node.isRunning || node.isFrozen)
            return;
        const TimePoint now = m_fleet.now();
        if (!it.census || it.run != node.run) {
            it.run = node.run;
            it.census.emplace(CensusLimits { node.self.dataCentre, true, RegistryFleet::dataCentres }, now);
            it.allowance.emplace(limits);
        }
        it.census->observe(node.fleet->others(), now);
        it.allowance->setSlackShare({ it.census->size(), it.census->stableSince() });
        for (int n = m_arrivals(m_random); n > 0; --n) {
            it.allowance->requestArrived(now);
            ++m_requests.back();
        }
        while (it.allowance->tryTake(now))
            ++m_retries.back();
    }

    static double sum(const std::deque<double>& counts, std::size_t back)
    {
        double total = 0;
        for (std::size_t n = back; n < back + stepsPerWindow && n < counts.size(); ++n)
            total += counts[counts.size() - 1 - n];
        return total;
    }

    // The requests are counted in the window of the retries, the one before it or the one between, as the rule says.
    void checkWindow()
    {
        double requests = 0;
        for (const std::size_t back : { std::size_t(0), stepsPerWindow / 2, stepsPerWindow })
            requests = std::max(requests, sum(m_requests, back));
        const double allowed = limits.ratio.value() * requests + limits.slack;
        m_worstExcess = std::max(m_worstExcess, sum(m_retries, 0) - allowed);
    }

    RegistryFleet m_fleet;
    std::mt19937 m_random { 7 };
    std::poisson_distribution<int> m_arrivals;
    std::vector<Spender> m_spenders;
    std::deque<double> m_requests; // Of each step.
    std::deque<double> m_retries;
    double m_worstExcess = 0;
};

void startAll(HungryFleet& it) { it.runFor(20s); }

void restartAll(HungryFleet& it)
{
    it.runFor(25s);
    for (std::size_t n = 0; n < it.fleet().size(); ++n)
        it.fleet().restart(n);
    it.runFor(20s);
}

void cutRegions(HungryFleet& it, bool isCut)
{
    for (std::size_t n = 0; n < RegistryFleet::regions; ++n)
        it.fleet().cutRegion(n, isCut);
}

void separateRegions(HungryFleet& it)
{
    it.runFor(25s);
    cutRegions(it, true);
    it.runFor(100s);
    cutRegions(it, false);
    it.runFor(15s);
}

void restartWhileSeparated(HungryFleet& it)
{
    it.runFor(25s);
    cutRegions(it, true);
    for (std::size_t n = 0; n < it.fleet().size(); ++n)
        it.fleet().restart(n);
    it.runFor(40s);
    cutRegions(it, false);
    it.runFor(20s);
}

void killHalf(HungryFleet& it)
{
    it.runFor(25s);
    for (std::size_t n = 0; n < it.fleet().size(); n += 2)
        it.fleet().kill(n);
    it.runFor(20s);
    for (std::size_t n = 0; n < it.fleet().size(); n += 2)
        it.fleet().restart(n);
    it.runFor(20s);
}

struct BoundRow {
    const char* name;
    std::size_t members;
    double requestsPerSecond; // Of the whole fleet.
    void (*play)(HungryFleet&);
};

const BoundRow boundRows[] = {
    { "138 members start", 138, 66, startAll },
    { "138 members restart at once", 138, 66, restartAll },
    { "regions separated for 100 s", 138, 66, separateRegions },
    { "138 members restart while regions are separated", 138, 66, restartWhileSeparated },
    { "half of 138 members away for 20 s", 138, 66, killHalf },
    { "14 members restart at once", 14, 40, restartAll },
    { "14 members restart while regions are separated", 14, 40, restartWhileSeparated },
};

} // namespace

// Guards against members that disagree about the size of the fleet and together retry more than the fleet may.
ParameterizedTestParameters(FleetBounds, limitRetriesOfAllMembers) { return rowIndices(boundRows); }

ParameterizedTest(std::size_t* index, FleetBounds, limitRetriesOfAllMembers)
{
    const auto& row = boundRows[*index];
    HungryFleet fleet(row.members, row.requestsPerSecond);
    row.play(fleet);
    cr_expect_leq(fleet.worstExcess(), 0, "%s: %f retries too many", row.name, fleet.worstExcess());
    // A limit that is never granted would hold as well.
    const double ratioOnly = limits.ratio.value() * row.requestsPerSecond * 10;
    cr_expect_geq(
        fleet.lastRetries(), 0.4 * ratioOnly, "%s: %f retries in the last window", row.name, fleet.lastRetries());
}
