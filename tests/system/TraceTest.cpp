#include "MemberStatus.h"
#include "TableRows.h"
#include "TraceCollector.h"

#include <algorithm>

using namespace dogwoodhall;

namespace {

constexpr const char* callerTrace = "4bf92f3577b34da6a3ce929d0e0e4736";
constexpr const char* callerSpan = "00f067aa0ba902b7";

Cluster startTraced(std::size_t daemons, const NetworkAddress& collector, double samplingPercent)
{
    return Cluster::Builder()
        .daemons(daemons)
        .slots(8)
        .setting("traceCollectorAddress", toString(collector).c_str())
        .setting("traceSamplingPercent", samplingPercent)
        .start();
}

// The only span of this name; fails the test if there are none or several.
CollectedSpan only(const std::vector<CollectedSpan>& spans, const std::string& name)
{
    const auto isNamed = [&](const auto& span) { return span.name == name; };
    cr_assert_eq(std::count_if(spans.begin(), spans.end(), isNamed), 1, "spans named %s", name.c_str());
    return *std::find_if(spans.begin(), spans.end(), isNamed);
}

} // namespace

// A span and the name of its parent, which is empty if the parent is the caller's span or there is none.
struct ExpectedSpan {
    const char* name;
    std::string parent;
    bool fails = false;
};

struct TraceRow {
    const char* name;
    bool isForwarded; // Through a member that is not the home.
    double samplingPercent;
    const char* traceParentFlags; // Flags in the caller's traceparent field; null: the caller sends none.
    std::vector<ExpectedSpan> spans; // From the entry to the upstream.
    const char* target = "/a";
};

const std::vector<ExpectedSpan> spansThroughHop { { "entry", "" }, { "peer", "entry" }, { "home", "peer" },
    { "queue", "home" }, { "upstream", "home" } };

const TraceRow traceRows[] = {
    { "at the home", false, 100, nullptr, { { "entry", "" }, { "queue", "entry" }, { "upstream", "entry" } } },
    { "through a hop", true, 100, nullptr, spansThroughHop },
    { "with a permit", true, 100, nullptr,
        { { "entry", "" }, { "permit", "entry" }, { "home", "permit" }, { "queue", "home" }, { "upstream", "entry" } },
        "/download?bytes=100000" },
    { "truncated response at the home", false, 100, nullptr,
        { { "entry", "", true }, { "queue", "entry" }, { "upstream", "entry", true } }, "/a?bytes=100000&truncate=1" },
    { "truncated response through a hop", true, 100, nullptr,
        { { "entry", "", true }, { "peer", "entry", true }, { "home", "peer", true }, { "queue", "home" },
            { "upstream", "home", true } },
        "/a?bytes=100000&truncate=1" },
    { "of a caller's trace", true, 0, "01", spansThroughHop },
    { "of a caller's trace that is not sampled", true, 100, "00", {} },
    { "not sampled", true, 0, nullptr, {} },
};

namespace {

// One request in a cluster of two members, and the spans that the collector received of it.
class TraceCase {
public:
    explicit TraceCase(const TraceRow& row)
        : m_row(row)
        , m_collector(TraceCollector::Mode::Accepts)
        , m_cluster(startTraced(2, m_collector.address(), row.samplingPercent))
    {
        const auto home = waitForAgreedHome({ &m_cluster.daemon(0), &m_cluster.daemon(1) });
        const bool isFirstHome = m_cluster.daemon(0).name == home;
        m_home = &m_cluster.daemon(isFirstHome ? 0 : 1);
        m_entry = &m_cluster.daemon(isFirstHome == row.isForwarded ? 1 : 0);
    }

    void run()
    {
        send(m_row.traceParentFlags);
        // Spans are exported in the order in which they end. The spans of a later sampled request show that both
        // members have exported all earlier ones.
        waitForSpans(m_row.spans.size());
        if (m_row.spans.empty()) {
            send("01");
            waitForSpans(spansThroughHop.size());
        }
        cr_assert_eq(m_collector.malformedRequests(), 0, "%s", m_row.name);
        for (const auto& daemon : m_cluster.daemons())
            cr_assert_eq(counterOf(daemon, "dogwoodhall_spans_dropped_total"), 0, "%s", m_row.name);
        checkSpans();
    }

private:
    void send(const char* flags)
    {
        std::string field;
        if (flags)
            field = std::string("traceparent: 00-") + callerTrace + "-" + callerSpan + "-" + flags + "\r\n";
        cr_assert_eq(call(m_entry->caller, { "GET", m_row.target, field, {}, {} }).status, 200, "%s", m_row.name);
    }

    void waitForSpans(std::size_t count)
    {
        cr_assert(eventually([&] { return m_collector.spans().size() >= count; }), "%s", m_row.name);
        cr_assert_eq(m_collector.spans().size(), count, "%s", m_row.name);
    }

    void checkSpans() const
    {
        const auto spans = m_collector.spans();
        for (const auto& expected : m_row.spans) {
            const auto* name = expected.name;
            const auto span = only(spans, name);
            const auto parent = !expected.parent.empty() ? only(spans, expected.parent).id
                                                         : std::string(m_row.traceParentFlags ? callerSpan : "");
            const bool isAtHome = span.name == "home" || expected.parent == "home" || !m_row.isForwarded;
            cr_assert(span.parent == parent, "%s: parent of %s", m_row.name, name);
            cr_assert(span.trace == spans.front().trace, "%s: trace of %s", m_row.name, name);
            cr_assert(span.instance == (isAtHome ? m_home : m_entry)->name, "%s: member of %s", m_row.name, name);
            cr_assert_eq(span.error, expected.fails ? "answer-broken-off" : "", "%s: %s", m_row.name, name);
            const bool placesRequest = span.name != "home" && span.name != "upstream";
            cr_assert_neq(span.reason.empty(), placesRequest, "%s: reason of %s", m_row.name, name);
        }
        cr_assert(!m_row.traceParentFlags || spans.front().trace == callerTrace, "%s", m_row.name);
        cr_assert_eq(spans.front().trace.size(), 32, "%s", m_row.name);
    }

    const TraceRow& m_row;
    TraceCollector m_collector;
    Cluster m_cluster;
    DaemonProcess* m_home = nullptr;
    DaemonProcess* m_entry = nullptr;
};

} // namespace

// Guards against traces that are not connected across a hop, ignore the caller's trace, or are exported though not
// sampled.
ParameterizedTestParameters(Trace, coversEachHop) { return rowIndices(traceRows); }

ParameterizedTest(std::size_t* index, Trace, coversEachHop, .timeout = 60) { TraceCase(traceRows[*index]).run(); }

struct CollectorRow {
    const char* name;
    bool isReachable;
    TraceCollector::Mode mode;
    bool losesSpans = true;
};

const CollectorRow collectorRows[] = {
    { "unreachable", false, TraceCollector::Mode::Accepts },
    { "never responds", true, TraceCollector::Mode::NeverResponds },
    { "refusing", true, TraceCollector::Mode::Refuses },
    { "stalls within its responses", true, TraceCollector::Mode::Stalls, false },
};

// Guards against requests that wait for the collector, and against lost spans that are not counted. If requests waited
// for the next export (1 s) or for the timeout of one (2 s), they would together exceed the test's timeout.
ParameterizedTestParameters(Trace, lostSpansDelayNoRequest) { return rowIndices(collectorRows); }

ParameterizedTest(std::size_t* index, Trace, lostSpansDelayNoRequest, .timeout = 90)
{
    constexpr std::size_t spansOfRequest = 3; // entry, queue and upstream; a retry adds two.
    constexpr std::size_t requests = 200;
    const auto& row = collectorRows[*index];
    const TraceCollector collector(row.mode);
    const ReservedPort closedPort;
    Cluster cluster = startTraced(1, row.isReachable ? collector.address() : closedPort.address(), 100);
    TestClient client(cluster.caller());
    for (std::size_t n = 0; n < requests; ++n) {
        client.send(TestRequest {}.text());
        const auto response = client.readResponse();
        cr_assert(
            response.status == 200 && response.isComplete, "%s: request %zu got %u", row.name, n, response.status);
    }
    cr_assert(eventually([&] {
        const auto receivedSpans = row.losesSpans ? 0 : collector.spans().size();
        return receivedSpans + counterOf(cluster.daemon(), "dogwoodhall_spans_dropped_total")
            >= spansOfRequest * requests;
    }),
        "%s: some spans were neither received nor counted as dropped", row.name);
}
