#include "MemberStatus.h"
#include "SentRequests.h"
#include "TableRows.h"

#include <algorithm>
#include <csignal>

using namespace dogwoodhall;

namespace {

constexpr std::size_t memberCount = 3;
// One upstream can hold all requests of two rounds, so that no row depends on refusals for lack of slots.
constexpr std::size_t slotCount = 8;
constexpr std::size_t requestsOfRound = 2; // Through each member, one of them not idempotent.
// Longer than the time after which members bypass a home that is silent (2 s) and suspect it (about 4 s).
constexpr useconds_t pauseMicroseconds = 4'000'000;
// While the home is suspected, and before its connection is closed after 2 s.
constexpr int frozenRounds = 3;
// The reserve of the one traffic thread, and a tenth of the at most 90 idempotent requests that succeed.
constexpr std::size_t mostRetries = 10 + 9;

void freeze(Cluster&, DaemonProcess& home) { home.process.signal(SIGSTOP); }

void kill(Cluster&, DaemonProcess& home) { home.process.kill(); }

void drain(Cluster&, DaemonProcess& home) { home.process.signal(SIGTERM); }

void stopNow(Cluster&, DaemonProcess& home)
{
    cr_assert_eq(call(home.admin, { "POST", "/stop-now", {}, {}, {} }).status, 202);
}

void killWithoutPlatform(Cluster& cluster, DaemonProcess& home)
{
    cluster.killPlatform();
    kill(cluster, home);
}

void freezeWhileAnUpstreamRefuses(Cluster& cluster, DaemonProcess& home)
{
    cluster.setMode(0, "refuse=1");
    freeze(cluster, home);
}

} // namespace

struct HomeRow {
    const char* name;
    void (*apply)(Cluster&, DaemonProcess& home); // Null: no fault.
    bool strikesInFlight; // Requests run through the home when the fault strikes.
    bool mayLoseInFlight; // These may fail, with an outcome.
    bool movesHome; // The survivors name another home.
    bool mayFailLater; // A request that is not idempotent may fail until then, since the home may have run it.
    int exitStatus; // Of the home; -1: it does not end.
    bool resumes = false; // The home goes on after a pause, with requests sent before and after.
};

const HomeRow rows[] = {
    { "healthy", nullptr, true, false, false, false, -1 },
    { "killed before", kill, false, false, true, true, 128 + SIGKILL },
    { "killed in the middle", kill, true, true, true, true, 128 + SIGKILL },
    { "frozen before", freeze, false, false, true, true, -1 },
    { "frozen in the middle", freeze, true, true, true, true, -1 },
    { "frozen for 4 s before", freeze, false, false, false, true, -1, true },
    { "frozen for 4 s in the middle", freeze, true, true, false, true, -1, true },
    { "drained in the middle", drain, true, false, true, false, 0 },
    { "forced to stop", stopNow, true, true, true, true, 3 },
    { "killed while the platform is down", killWithoutPlatform, true, true, true, true, 128 + SIGKILL },
    { "frozen while an upstream refuses", freezeWhileAnUpstreamRefuses, true, true, true, true, -1 },
};

namespace {

// Members of one cluster and the requests sent through those that are not the home.
class HomeCase {
public:
    explicit HomeCase(const HomeRow& row)
        : m_row(row)
        , m_cluster(Cluster::Builder().daemons(memberCount).upstreams(2).slots(slotCount).start())
        , m_requests(row.name)
    {
        for (const auto& daemon : m_cluster.daemons())
            m_all.push_back(&daemon);
        m_homeName = agreedHome(m_all);
        for (auto& daemon : m_cluster.daemons()) {
            if (daemon.name == m_homeName)
                m_home = &daemon;
            else
                m_others.push_back(&daemon);
        }
    }

    void run()
    {
        if (m_row.strikesInFlight) {
            sendRound("/a?delay_ms=1000", m_row.mayLoseInFlight, m_row.mayLoseInFlight);
            cr_assert(eventually(
                [&] { return m_cluster.received(0) + m_cluster.received(1) >= requestsOfRound * m_others.size(); }));
            for (const auto* member : m_others)
                cr_assert_eq(counterOf(*member, "dogwoodhall_forwarded_total"), requestsOfRound, "%s: not forwarded",
                    m_row.name);
        }
        if (m_row.apply)
            m_row.apply(m_cluster, *m_home);
        sendRound("/a", false, m_row.mayFailLater);
        if (m_row.resumes) {
            ::usleep(pauseMicroseconds);
            m_home->process.signal(SIGCONT);
            sendRound("/a", false, m_row.mayFailLater);
        }
        m_requests.readAll();
        const auto home = agreedHome(m_row.movesHome ? m_others : m_all, m_row.movesHome ? m_homeName : "");
        cr_assert(m_row.movesHome || m_row.mayFailLater || home == m_homeName, "%s: home moved", m_row.name);
        sendRound("/a", false, false);
        m_requests.readAll();
        finishHome();
        m_requests.check(m_cluster);
    }

private:
    // A request of each kind through each member that is not the home.
    void sendRound(const std::string& target, bool mayFailGet, bool mayFailPost)
    {
        for (const auto* member : m_others)
            m_requests.send(*member, target, requestsOfRound, mayFailGet, mayFailPost);
    }

    // A home that was frozen goes on with what it holds; what it runs late counts.
    void finishHome()
    {
        if (m_row.exitStatus >= 0) {
            cr_assert_eq(m_home->process.waitForExit().value_or(-1), m_row.exitStatus, "%s", m_row.name);
            return;
        }
        m_home->process.signal(SIGCONT);
        agreedHome(m_all);
        for (const auto* member : m_all) {
            const auto answer = call(member->caller, { "POST", "/a", {}, "order", "last" });
            cr_assert_eq(answer.status, 200, "%s: at %s got %u %s", m_row.name, member->name.c_str(), answer.status,
                answer.field("Dogwoodhall-Error").c_str());
        }
    }

    const HomeRow& m_row;
    Cluster m_cluster;
    std::string m_homeName;
    DaemonProcess* m_home = nullptr;
    std::vector<const DaemonProcess*> m_all;
    std::vector<const DaemonProcess*> m_others;
    SentRequests m_requests;
};

} // namespace

// Guards against a home whose failure loses or repeats requests of other members, or that is never replaced.
ParameterizedTestParameters(Home, failsWithoutHarm) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Home, failsWithoutHarm, .timeout = 120) { HomeCase(rows[*index]).run(); }

struct SilenceRow {
    const char* name;
    const char* target;
    unsigned delayMs; // Of each upstream's answers.
    bool strikesInFlight;
    std::size_t crowd; // Requests sent to the frozen home at once, half of them idempotent; 0: one.
};

const SilenceRow silenceRows[] = {
    { "frozen", "/a", 0, false, 0 },
    { "frozen in the middle", "/a", 300, true, 0 },
    { "frozen while upstreams are slow", "/a", 200, false, 0 },
    { "frozen, long work", "/download", 0, false, 0 },
    { "frozen, more wait than the retry budget repeats", "/a", 0, false, 160 },
};

// Guards against a frozen home that holds up requests with shorter deadlines than the timeout of its connection,
// against a second run of those that are not idempotent, and against a home that is not used again.
ParameterizedTestParameters(Home, isPassedByWhileFrozen) { return rowIndices(silenceRows); }

ParameterizedTest(std::size_t* index, Home, isPassedByWhileFrozen, .timeout = 120)
{
    const auto& row = silenceRows[*index];
    // One traffic thread has one connection to the home, which is suspected once.
    auto cluster = Cluster::Builder().daemons(2).upstreams(2).slots(slotCount).setting("trafficThreads", 1).start();
    const auto home = agreedHome({ &cluster.daemon(0), &cluster.daemon(1) });
    auto& frozen = cluster.daemon(cluster.daemon(0).name == home ? 0 : 1);
    const auto& entry = cluster.daemon(cluster.daemon(0).name == home ? 1 : 0);
    const auto used = [&] {
        return counterOf(entry, "dogwoodhall_forwarded_total") + counterOf(entry, "dogwoodhall_permits_total");
    };
    for (std::size_t n = 0; n < cluster.upstreamCount(); ++n)
        cluster.setMode(n, "delay_ms=" + std::to_string(row.delayMs));
    SentRequests requests(row.name, "Dogwoodhall-Deadline-Ms: 1000\r\n");
    requests.send(entry, row.target, requestsOfRound, false, row.strikesInFlight);
    if (row.strikesInFlight)
        cr_assert(eventually([&] { return cluster.received(0) + cluster.received(1) >= requestsOfRound; }));
    else
        requests.readAll();
    frozen.process.signal(SIGSTOP);
    // The first request after this is idempotent and waits at the home; those after it need not.
    requests.send(entry, row.target, std::max<std::size_t>(row.crowd, 1), row.crowd > 0, true);
    requests.readAll();
    for (int round = 0; round < frozenRounds; ++round) {
        requests.send(entry, row.target, requestsOfRound);
        requests.readAll();
    }
    const auto retries = counterOf(entry, "dogwoodhall_retries_total");
    cr_assert(retries > 0 && retries <= mostRetries, "%s: %zu retries", row.name, std::size_t(retries));
    frozen.process.signal(SIGCONT);
    const auto before = used();
    cr_assert(eventually([&] {
        requests.send(entry, row.target, requestsOfRound, false, true);
        requests.readAll();
        return used() > before;
    }),
        "%s: the home is not used again", row.name);
    requests.check(cluster);
}

struct PermitRow {
    const char* name;
    const char* method;
};

const PermitRow permitRows[] = {
    { "idempotent", "GET" },
    { "not idempotent", "POST" },
};

// Guards against a member that ends, or runs a request twice, when it runs long work itself with the home's permit.
ParameterizedTestParameters(Home, permitsLongWork) { return rowIndices(permitRows); }

ParameterizedTest(std::size_t* index, Home, permitsLongWork, .timeout = 90)
{
    const auto& row = permitRows[*index];
    auto cluster = Cluster::Builder().daemons(2).start();
    const auto home = agreedHome({ &cluster.daemon(0), &cluster.daemon(1) });
    const auto& entry = cluster.daemon(cluster.daemon(0).name == home ? 1 : 0);
    for (int n = 0; n < 5; ++n) {
        const auto id = "long-" + std::to_string(n);
        const auto answer = call(entry.caller, { row.method, "/download", {}, {}, id });
        cr_assert(answer.isWhole && answer.status == 200, "%s: status %u", row.name, answer.status);
        cr_assert_eq(cluster.runs(id), 1, "%s", row.name);
    }
    cr_assert_geq(counterOf(entry, "dogwoodhall_permits_total"), 5, "%s", row.name);
}

// Guards against an error that the home and the entry host both count as an answer to a caller, and against an ejected
// endpoint that is counted nowhere.
Test(Home, countsFaultsOnce, .timeout = 60)
{
    auto cluster = Cluster::Builder().daemons(2).upstreams(2).start();
    auto* home = &cluster.daemon(0);
    auto* entry = &cluster.daemon(1);
    if (agreedHome({ home, entry }) != home->name)
        std::swap(home, entry);
    for (const auto upstream : { 0, 1 })
        cluster.setMode(static_cast<std::size_t>(upstream), "fault=cut-before");
    std::uint64_t failed = 0;
    const auto isEjected = [&] {
        failed += call(entry->caller, { "POST", "/a", {}, {}, {} }).status == 502;
        return counterOf(*home, "dogwoodhall_endpoint_ejections_total") > 0;
    };
    cr_assert(eventually(isEjected));
    const std::string kind = "{kind=\"upstream-failed\"}";
    cr_assert_gt(failed, 0);
    cr_assert_eq(counterOf(*entry, "dogwoodhall_errors_total" + kind), failed);
    cr_assert_eq(counterOf(*home, "dogwoodhall_errors_to_members_total" + kind), failed);
    cr_assert_eq(counterOf(*home, "dogwoodhall_errors_total" + kind), 0);
}
