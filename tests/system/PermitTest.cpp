#include "MemberStatus.h"
#include "TableRows.h"

#include <algorithm>
#include <csignal>
#include <memory>

using namespace dogwoodhall;

namespace {

constexpr std::size_t upstreamCount = 2;
constexpr std::size_t slotCount = 3;
// Half of it is more than the sockets between the endpoint and a caller that does not read hold: two send buffers of at
// most 4 MB, and receive buffers that grow only while they are read.
constexpr std::size_t downloadBytes = 24 * 1024 * 1024;

using Clients = std::vector<std::unique_ptr<TestClient>>;

void killHome(DaemonProcess& home, DaemonProcess&, Clients&) { home.process.kill(); }

void freezeHome(DaemonProcess& home, DaemonProcess&, Clients&) { home.process.signal(SIGSTOP); }

void drainHome(DaemonProcess& home, DaemonProcess&, Clients&) { home.process.signal(SIGTERM); }

void stopHome(DaemonProcess& home, DaemonProcess&, Clients&)
{
    cr_assert_eq(call(home.admin, { "POST", "/stop-now", {}, {}, {} }).status, 202);
}

void killEntry(DaemonProcess&, DaemonProcess& entry, Clients&) { entry.process.kill(); }

void leave(DaemonProcess&, DaemonProcess&, Clients& callers)
{
    for (auto& caller : callers)
        caller->cut();
}

enum class Ending {
    Whole,
    Broken, // Visibly: the caller can tell that a part is missing.
    Unread, // The entry or the caller is gone.
};

} // namespace

struct PermitRow {
    const char* name;
    void (*strike)(DaemonProcess& home, DaemonProcess& entry, Clients& callers); // Null: nothing happens.
    Ending ending;
    int homeExit = -1; // Exit status of the home; -1: it does not end.
    const char* query = ""; // Of the downloads in flight.
};

const PermitRow rows[] = {
    { "nothing happens", nullptr, Ending::Whole },
    { "home killed", killHome, Ending::Whole, 128 + SIGKILL },
    { "home frozen", freezeHome, Ending::Whole },
    { "home drained", drainHome, Ending::Whole, 0 },
    { "home forced to stop", stopHome, Ending::Whole, 3 },
    { "endpoint breaks off", nullptr, Ending::Broken, -1, "&truncate=1" },
    { "endpoint breaks off, no declared length", nullptr, Ending::Broken, -1, "&truncate=1&chunked=1" },
    { "entry killed", killEntry, Ending::Unread },
    { "callers leave", leave, Ending::Unread },
};

namespace {

class PermitCase {
public:
    explicit PermitCase(const PermitRow& row)
        : m_row(row)
        , m_cluster(Cluster::Builder().daemons(2).upstreams(upstreamCount).slots(slotCount).start())
    {
        const auto name = agreedHome({ &m_cluster.daemon(0), &m_cluster.daemon(1) });
        m_home = &m_cluster.daemon(name == m_cluster.daemon(0).name ? 0 : 1);
        m_entry = &m_cluster.daemon(name == m_cluster.daemon(0).name ? 1 : 0);
    }

    void run()
    {
        // One for each endpoint.
        auto inFlight = start(*m_entry, "held", upstreamCount, m_row.query);
        cr_assert(eventually([&] { return haveRun("held"); }), "%s: not started", m_row.name);
        cr_assert_eq(counterOf(*m_entry, "dogwoodhall_permits_total"), upstreamCount, "%s: no permits", m_row.name);
        auto& later = m_row.ending == Ending::Unread ? *m_home : *m_entry;
        auto queued = start(later, "queued", upstreamCount, {});
        fillWithShortRequests();
        for (std::size_t n = 0; n < upstreamCount; ++n) {
            cr_assert_eq(m_cluster.runs("queued" + std::to_string(n)), 0, "%s: two long at an endpoint", m_row.name);
            cr_assert(eventually([&] { return m_cluster.inUse(n) == 1; }), "%s: endpoint %zu", m_row.name, n);
        }
        if (m_row.strike)
            m_row.strike(*m_home, *m_entry, inFlight);
        if (m_row.ending != Ending::Unread)
            readAll(inFlight, m_row.ending);
        // These got the slots that were returned, or were placed without a home.
        readAll(queued, Ending::Whole);
        if (m_row.homeExit >= 0)
            cr_assert_eq(m_home->process.waitForExit().value_or(-1), m_row.homeExit, "%s", m_row.name);
        else
            m_home->process.signal(SIGCONT);
        const auto last = start(later, "last", upstreamCount, {});
        cr_assert(eventually([&] { return haveRun("last"); }), "%s: a slot is lost", m_row.name);
    }

private:
    Clients start(const DaemonProcess& daemon, const std::string& id, std::size_t count, const std::string& query)
    {
        Clients clients;
        const auto target = "/download?bytes=" + std::to_string(downloadBytes) + query;
        for (std::size_t n = 0; n < count; ++n) {
            clients.push_back(std::make_unique<TestClient>(daemon.caller));
            clients.back()->send(TestRequest { "GET", target, {}, {}, id + std::to_string(n) }.text());
        }
        return clients;
    }

    bool haveRun(const std::string& id) const { return m_cluster.runs(id + "0") == 1 && m_cluster.runs(id + "1") == 1; }

    // All other slots at once. Not idempotent, so that neither a hedge nor a repeat hides one that waits.
    void fillWithShortRequests()
    {
        Clients clients;
        for (std::size_t n = 0; n < upstreamCount * (slotCount - 1); ++n) {
            clients.push_back(std::make_unique<TestClient>(m_entry->caller));
            clients.back()->send(TestRequest { "POST", "/a?delay_ms=200", {}, {}, "short" + std::to_string(n) }.text());
        }
        for (auto& client : clients) {
            const auto answer = client->readAnswer();
            const auto error = answer.field("Dogwoodhall-Error");
            cr_assert(answer.status == 200 && answer.isWhole, "%s: short request got %u %s", m_row.name, answer.status,
                error.c_str());
        }
    }

    void readAll(Clients& clients, Ending ending) const
    {
        for (auto& client : clients) {
            const auto answer = client->readAnswer();
            const auto error = answer.field("Dogwoodhall-Error");
            cr_assert_eq(answer.status, 200, "%s: status %u %s", m_row.name, answer.status, error.c_str());
            cr_assert_eq(answer.isWhole, ending == Ending::Whole, "%s: %zu bytes", m_row.name, answer.body.size());
            cr_assert(!answer.isWhole || answer.body.size() == downloadBytes, "%s: cut short cleanly", m_row.name);
        }
    }

    const PermitRow& m_row;
    Cluster m_cluster;
    DaemonProcess* m_home = nullptr;
    DaemonProcess* m_entry = nullptr;
};

} // namespace

// Guards against downloads that the fault of a home ends, slots that a lost holder keeps, and short requests that wait
// for long ones.
ParameterizedTestParameters(Permit, outlivesItsHome) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Permit, outlivesItsHome, .timeout = 240) { PermitCase(rows[*index]).run(); }
