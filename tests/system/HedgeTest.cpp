#include "MemberStatus.h"
#include "TableRows.h"

#include <csignal>
#include <memory>
#include <set>

using namespace dogwoodhall;

namespace {

constexpr std::size_t upstreamCount = 4;
constexpr std::size_t slotCount = 4;
constexpr std::size_t allSlots = upstreamCount * slotCount;
// Sent at once. Fewer than the slots, so that hedges find free ones.
constexpr std::size_t requestsPerRound = 4;
// More than the 50 samples after which hedges begin.
constexpr std::size_t roundsBefore = 25;
// Enough that hedges of a quarter of the requests would exhaust the retry budget.
constexpr std::size_t roundsDuring = 40;
constexpr std::size_t roundsAfter = 40;
// Few, since without hedges each request may wait until its deadline.
constexpr std::size_t roundsNotIdempotent = 10;
// Second runs are limited to this share of successful requests (default of retrySharePercent) plus the reserve.
constexpr double retryShare = 0.1;
constexpr double retryReserve = 10;
// Delay of healthy responses: much longer than scheduling delays of a busy machine, so that few of them are hedged.
const char* const baselineMode = "delay_ms=50";
// Less than eight times the baseline, so that no endpoint is ejected.
const char* const fillMode = "delay_ms=300";
constexpr std::chrono::milliseconds fillTime { 300 }; // For how long each request holds its slot.
// Longer than any wait of the test, so that such a response never arrives.
const char* const hungMode = "delay_ms=120000";

} // namespace

struct HedgeRow {
    const char* name;
    const char* method;
    std::size_t faulty; // Number of endpoints.
    const char* mode; // Of the faulty endpoints; null: the process of u0 is stopped.
    bool mustSucceed;
    bool mustHedge;
};

const HedgeRow rows[] = {
    { "one hangs, idempotent", "GET", 1, hungMode, true, true },
    { "one is frozen, idempotent", "GET", 1, nullptr, true, true },
    { "one is slow, idempotent", "GET", 1, "delay_ms=1000", true, true },
    { "one breaks connections, idempotent", "GET", 1, "fault=cut-after", true, false },
    { "all are slow, idempotent", "GET", upstreamCount, "delay_ms=1000", true, true },
    { "all break connections, idempotent", "GET", upstreamCount, "fault=cut-after", false, false },
    { "one hangs, not idempotent", "POST", 1, hungMode, false, false },
    { "one is frozen, not idempotent", "POST", 1, nullptr, false, false },
    { "one is slow, not idempotent", "POST", 1, "delay_ms=1000", true, false },
    { "one breaks connections, not idempotent", "POST", 1, "fault=cut-after", false, false },
};

namespace {

class HedgeCase {
public:
    explicit HedgeCase(const HedgeRow& row)
        : m_row(row)
        , m_cluster(Cluster::Builder().upstreams(upstreamCount).slots(slotCount).setting("trafficThreads", 1).start())
    {
    }

    void run()
    {
        setMode(upstreamCount, baselineMode);
        for (std::size_t n = 0; n < roundsBefore; ++n)
            sendRound("GET", "no fault", true);
        const auto before = hedges();
        if (!m_row.mode)
            m_cluster.upstream(0).process.signal(SIGSTOP);
        else
            setMode(m_row.faulty, m_row.mode);
        const bool isGet = m_row.method == std::string("GET");
        for (std::size_t n = 0; n < (isGet ? roundsDuring : roundsNotIdempotent); ++n)
            sendRound(m_row.method, m_row.name, m_row.mustSucceed);
        cr_assert(!m_row.mustHedge || hedges() > before, "%s: no hedge", m_row.name);
        cr_assert(isGet || hedges() == before, "%s: a request that is not idempotent was hedged", m_row.name);
        m_cluster.upstream(0).process.signal(SIGCONT);
        // A request that the daemon has abandoned ends at its endpoint only because the daemon closes the connection.
        cr_assert(eventually([&] { return inUse() == 0; }), "%s: %zu still run", m_row.name, inUse());
        checkRuns();
        setMode(upstreamCount, baselineMode);
        cr_assert(eventually([&] { return fillsAllSlots(); }), "%s: slots are lost", m_row.name);
    }

private:
    void setMode(std::size_t endpoints, const std::string& mode)
    {
        for (std::size_t n = 0; n < endpoints; ++n)
            m_cluster.setMode(n, mode);
    }

    std::uint64_t hedges() { return counterOf(m_cluster.daemon(), "dogwoodhall_hedges_total"); }

    std::size_t inUse() const
    {
        std::size_t sum = 0;
        for (std::size_t n = 0; n < upstreamCount; ++n)
            sum += m_cluster.inUse(n);
        return sum;
    }

    std::vector<std::unique_ptr<TestClient>> start(
        std::size_t count, const std::string& method, const std::string& fields)
    {
        std::vector<std::unique_ptr<TestClient>> clients;
        for (std::size_t n = 0; n < count; ++n) {
            m_ids.push_back(method + std::to_string(m_ids.size()));
            clients.push_back(std::make_unique<TestClient>(m_cluster.caller()));
            clients.back()->send(TestRequest { method, "/a", fields, {}, m_ids.back() }.text());
        }
        return clients;
    }

    void sendRound(const std::string& method, const char* phase, bool mustSucceed, std::size_t count = requestsPerRound)
    {
        // A request that need not succeed fails at its deadline, and the test continues.
        for (auto& client : start(count, method, mustSucceed ? "" : "Dogwoodhall-Deadline-Ms: 1000\r\n")) {
            const auto response = client->readResponse();
            cr_assert(response.status && response.isComplete, "%s: no complete response", phase);
            if (response.status == 200)
                m_servedBy.insert(response.field("X-Endpoint"));
            const auto error = response.field("Dogwoodhall-Error");
            cr_assert(response.status == 200 || !mustSucceed, "%s: %u %s", phase, response.status, error.c_str());
        }
    }

    void checkRuns() const
    {
        std::size_t runs = 0;
        for (const auto& id : m_ids) {
            const auto n = m_cluster.runs(id);
            cr_assert(id.starts_with("GET") || n <= 1, "%s: %s ran %zu times", m_row.name, id.c_str(), n);
            runs += n;
        }
        const auto most = (1 + retryShare) * static_cast<double>(m_ids.size()) + retryReserve;
        cr_log_info("%s: %zu requests, %zu runs\n", m_row.name, m_ids.size(), runs);
        cr_assert_leq(static_cast<double>(runs), most, "%s: %zu runs", m_row.name, runs);
    }

    // Tries to have all slots in use at once, after every endpoint has recovered. Sends as many requests as there are
    // slots, since an endpoint that was slow gets requests only if the others are full.
    bool fillsAllSlots()
    {
        m_servedBy.clear();
        for (std::size_t n = 0; n < roundsAfter; ++n)
            sendRound("GET", "after", false, allSlots);
        if (m_servedBy.size() < upstreamCount)
            return false;
        setMode(upstreamCount, fillMode);
        std::size_t most = 0;
        {
            auto clients = start(allSlots, "POST", "");
            const auto end = std::chrono::steady_clock::now() + fillTime;
            while (most < allSlots && std::chrono::steady_clock::now() < end)
                most = std::max(most, inUse());
            for (auto& client : clients)
                client->readResponse();
        }
        setMode(upstreamCount, baselineMode);
        return most == allSlots;
    }

    const HedgeRow& m_row;
    Cluster m_cluster;
    std::vector<std::string> m_ids;
    std::set<std::string> m_servedBy; // Endpoints that returned status 200.
};

} // namespace

// Guards against a slow endpoint that delays or multiplies short requests, and against slots that hedges don't release.
ParameterizedTestParameters(Hedge, toleratesFaultyEndpoint) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Hedge, toleratesFaultyEndpoint, .timeout = 120) { HedgeCase(rows[*index]).run(); }
