#include "MemberStatus.h"
#include "TableRows.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

using namespace dogwoodhall;

namespace {

using Clock = std::chrono::steady_clock;
using Members = std::vector<const DaemonProcess*>;

constexpr std::size_t upstreamCount = 20;
constexpr std::size_t minCallers = 3;
constexpr std::size_t maxCallers = 3 * minCallers;
constexpr std::chrono::milliseconds loadPeriod { 500 };
constexpr std::size_t windows = 6; // Of a second each.

} // namespace

struct MeasuringRow {
    const char* name;
    std::uint64_t callsPerSecond;
    std::uint64_t bytesPerSecond;
    const char* mode; // Of half the endpoints, from the middle of the test on.
};

// 20 endpoints need 13 probes of 300 bytes each second, and two peers 8 gossip messages. In the long run three quarters
// of a limit are available: 15 of 20 calls, 6 of 8, and 3000 of 4000 bytes. Below 8 the bucket holds one call, and no
// category has priority over another.
const MeasuringRow rows[] = {
    { "call limit exhausted, load fluctuates", 20, 1'000'000, "" },
    { "byte limit exhausted, load fluctuates", 1'000, 4'000, "" },
    { "call limit exhausted by gossip, load fluctuates", 8, 1'000'000, "" },
    { "call limit exhausted, endpoints slow down", 20, 1'000'000, "delay_ms=300&health_delay_ms=700" },
    { "bytes bind, endpoints slow down", 1'000, 4'000, "delay_ms=300&health_delay_ms=700" },
};

namespace {

// Callers that send one request after another. Their number alternates between minCallers and maxCallers each
// loadPeriod.
class FluctuatingLoad {
public:
    explicit FluctuatingLoad(const Members& members)
    {
        for (std::size_t n = 0; n < maxCallers; ++n)
            m_callers.emplace_back([this, n, address = members[n % members.size()]->caller] { send(n, address); });
    }
    ~FluctuatingLoad()
    {
        m_isStopping = true;
        for (auto& caller : m_callers)
            caller.join();
    }

    std::size_t servedRequests() const { return m_servedRequests; }

private:
    void send(std::size_t caller, const NetworkAddress& address)
    {
        const auto start = Clock::now();
        while (!m_isStopping) {
            const bool isPeak = (Clock::now() - start) / loadPeriod % 2 == 1;
            if (caller >= minCallers && !isPeak)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            else
                m_servedRequests += call(address, { "GET", "/a", {}, {}, {} }).status == 200;
        }
    }

    std::atomic<bool> m_isStopping = false;
    std::atomic<std::size_t> m_servedRequests = 0;
    std::vector<std::thread> m_callers;
};

struct Usage {
    Clock::time_point readAt; // Before the counters were read, so that a window from here covers the reading too.
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
};

std::uint64_t countOf(const DaemonProcess& daemon, const std::string& counter, const char* category)
{
    return counterOf(daemon, "dogwoodhall_" + counter + "_total{category=\"" + category + "\"}");
}

Usage usageOf(const DaemonProcess& daemon)
{
    Usage usage { Clock::now(), 0, counterOf(daemon, "dogwoodhall_control_bytes_total") };
    for (const auto* category : { "membership", "health" })
        usage.calls += countOf(daemon, "control_calls", category);
    return usage;
}

// The most that a limit permits in a window: a quarter of it at once, and three quarters of it each second.
double allowedUsage(std::uint64_t limit, Clock::duration window)
{
    const auto burst = limit / 4;
    return static_cast<double>(burst)
        + static_cast<double>(limit - burst) * std::chrono::duration<double>(window).count();
}

void checkWindow(const MeasuringRow& row, const DaemonProcess& daemon, const Usage& before)
{
    const auto after = usageOf(daemon);
    const auto window = Clock::now() - before.readAt;
    const auto calls = after.calls - before.calls;
    const auto bytes = after.bytes - before.bytes;
    const auto* name = daemon.name.c_str();
    cr_assert(static_cast<double>(calls) <= allowedUsage(row.callsPerSecond, window), "%s: %s made %zu calls", row.name,
        name, std::size_t(calls));
    cr_assert(static_cast<double>(bytes) <= allowedUsage(row.bytesPerSecond, window), "%s: %s sent %zu bytes", row.name,
        name, std::size_t(bytes));
}

// Share of the attempted calls that the budget denied.
double deniedShare(const DaemonProcess& daemon, const char* category)
{
    const auto denied = static_cast<double>(countOf(daemon, "measuring_denied", category));
    return denied / std::max(denied + static_cast<double>(countOf(daemon, "control_calls", category)), 1.0);
}

// Checks one second of load. `first` holds the counters from before the load began.
void watchWindow(
    const MeasuringRow& row, const Members& members, const std::vector<Usage>& first, const std::string& home)
{
    std::vector<Usage> before;
    for (const auto* member : members)
        before.push_back(usageOf(*member));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (std::size_t n = 0; n < members.size(); ++n) {
        checkWindow(row, *members[n], before[n]);
        checkWindow(row, *members[n], first[n]);
        const auto status = statusOf(*members[n]);
        cr_assert(status.isReady && status.alivePeers == 2 && status.home == home, "%s: %s knows %zu peers, home %s",
            row.name, members[n]->name.c_str(), status.alivePeers, status.home.c_str());
    }
}

// Every probe was charged to the budget, and the home's budget denied probes rather than gossip.
void checkProbes(const MeasuringRow& row, const Cluster& cluster, const Members& members, const std::string& home)
{
    std::size_t received = 0;
    for (std::size_t n = 0; n < upstreamCount; ++n)
        received += cluster.healthCalls(n);
    std::uint64_t charged = 0;
    for (const auto* member : members)
        charged += countOf(*member, "control_calls", "health");
    cr_assert(
        received > 0 && received <= charged, "%s: %zu probes, %zu charged", row.name, received, std::size_t(charged));
    const auto& atHome = **std::find_if(members.begin(), members.end(), [&](const auto* m) { return m->name == home; });
    const double probes = deniedShare(atHome, "health");
    const double gossip = deniedShare(atHome, "membership");
    cr_log_info("%s: denied %.3f of the probes, %.3f of the gossip\n", row.name, probes, gossip);
    cr_assert_gt(probes, 0, "%s: the budget denied no probe", row.name);
    cr_assert_lt(gossip, probes, "%s: denied %.3f of the gossip, %.3f of the probes", row.name, gossip, probes);
}

} // namespace

// Guards against measuring that exceeds its budget, and against an exhausted budget that makes members look dead.
ParameterizedTestParameters(Measuring, staysWithinBudget) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Measuring, staysWithinBudget, .timeout = 120)
{
    const auto& row = rows[*index];
    auto cluster = Cluster::Builder()
                       .daemons(3)
                       .upstreams(upstreamCount)
                       .setting("measuringCallsPerSecond", row.callsPerSecond)
                       .setting("measuringBytesPerSecond", row.bytesPerSecond)
                       .start();
    Members members;
    for (const auto& daemon : cluster.daemons())
        members.push_back(&daemon);
    const auto home = waitForAgreedHome(members);
    std::vector<Usage> first;
    for (const auto* member : members) {
        cr_assert_eq(counterOf(*member, "dogwoodhall_measuring_budget_calls_per_second"), row.callsPerSecond);
        cr_assert_eq(counterOf(*member, "dogwoodhall_measuring_budget_bytes_per_second"), row.bytesPerSecond);
        first.push_back(usageOf(*member));
    }
    {
        FluctuatingLoad load(members);
        for (std::size_t n = 0; n < windows; ++n) {
            for (std::size_t upstream = 0; n == windows / 2 && upstream < upstreamCount / 2; ++upstream)
                cluster.setMode(upstream, row.mode);
            watchWindow(row, members, first, home);
        }
        cr_assert_gt(load.servedRequests(), 0, "%s: no request was served", row.name);
    }
    checkProbes(row, cluster, members, home);
}
