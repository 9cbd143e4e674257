#include "TableRows.h"

#include "TestDirectory.h"
#include "dogwoodhall/dispatch/Dispatcher.h"

#include <cstring>
#include <map>
#include <optional>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

// Response of an endpoint to a probe.
struct Load {
    const char* endpoint;
    std::uint64_t running = 0;
    double slowdown = 1;
    HealthStatus status = HealthStatus::Healthy;
};

// A dispatcher with endpoints that respond to its probes.
class DispatcherFixture {
public:
    explicit DispatcherFixture(const std::vector<TestEndpoint>& endpoints, unsigned maxAttempts = 2, double slack = 100)
        : m_dispatcher(limits(slack))
    {
        m_dispatcher.apply(TestDirectory::make(endpoints, maxAttempts), {}, m_now);
        // The retry budget of a member grows over its first window.
        admit("/lookups/0");
        m_now = m_now + 20s;
    }

    void setLoads(const Load* loads, std::size_t count)
    {
        for (std::size_t n = 0; n < count && loads[n].endpoint; ++n)
            m_loads[loads[n].endpoint] = loads[n];
    }

    RequestPlan admit(const char* path, std::optional<Duration> timeLeft = std::nullopt)
    {
        return *m_dispatcher.admit({ "shop", path, "GET" }, timeLeft, m_now);
    }

    // Responds to probes until the request is sent or refused.
    RequestAction decide(RequestPlan& plan)
    {
        while (true) {
            auto action = m_dispatcher.next(plan, context());
            const auto* probe = std::get_if<ProbeEndpoints>(&action);
            if (!probe)
                return action;
            respond(*probe);
        }
    }

    void respond(const ProbeEndpoints& probe)
    {
        const TimePoint sentAt = m_now;
        m_now = m_now + 1ms;
        ++probeRounds;
        for (const auto& endpoint : probe.endpoints) {
            const auto& id = endpoint.registration->id;
            const auto it = m_loads.find(id.value());
            if (it == m_loads.end()) {
                m_dispatcher.endpoints().recordUnansweredProbe(id, false, m_now);
                continue;
            }
            const LoadReport report { SlotCount(it->second.running), SlotCount(0), SlotCount(3), it->second.slowdown };
            m_dispatcher.endpoints().recordProbeResponse(id, report, it->second.status, sentAt);
        }
    }

    // Sends the request according to the action and makes it fail after 1 ms.
    void fail(RequestPlan& plan, const SendRequest& action, EndpointEvidence evidence, SendFailure failure)
    {
        const TimePoint sentAt = m_now;
        m_dispatcher.sent(plan, action, sentAt);
        m_now = m_now + 1ms;
        m_dispatcher.failed(plan, action, evidence, failure, sentAt, m_now);
    }

    void advance(Duration time) { m_now = m_now + time; }
    DecisionContext context() { return { m_now, m_random }; }
    Dispatcher& dispatcher() { return m_dispatcher; }
    TimePoint now() const { return m_now; }

    std::size_t probeRounds = 0; // Rounds of probes.

private:
    static DispatchLimits limits(double slack)
    {
        DispatchLimits limits;
        limits.retries.slack = slack;
        return limits;
    }

    Dispatcher m_dispatcher;
    TimePoint m_now = start;
    RandomEngine m_random { 1 };
    std::map<std::string, Load> m_loads;
};

const std::vector<TestEndpoint> threeDataCentres { { "near-1" }, { "near-2" }, { "region-1", "a2" },
    { "region-2", "a2" }, { "far-1", "b1" }, { "far-2", "b1" } };

std::string endpointOf(const RequestAction& action)
{
    const auto* sent = std::get_if<SendRequest>(&action);
    return sent ? sent->choice.endpoint.value() : "";
}

} // namespace

struct ShareRow {
    const char* name;
    std::size_t members;
    std::size_t trafficThreads; // Of each.
    std::optional<TimePoint> stableSince;
    double slack; // Of one traffic thread.
};

const ShareRow shareRows[] = {
    { "one member, one traffic thread", 1, 1, TimePoint(), 80 },
    { "four members", 4, 1, TimePoint(), 20 },
    { "four members with two traffic threads", 4, 2, TimePoint(), 10 },
    { "a member became known a moment ago", 4, 1, start - 9s, 0 },
    { "no other member known although there are some", 1, 1, std::nullopt, 0 },
};

// Guards against traffic threads that each spend the whole slack of their process, or of a fleet that they do not know.
ParameterizedTestParameters(Dispatcher, dividesTheSlack) { return rowIndices(shareRows); }

ParameterizedTest(std::size_t* index, Dispatcher, dividesTheSlack)
{
    const auto& row = shareRows[*index];
    DispatchLimits limits;
    limits.retries.slack = 100;
    limits.trafficThreads = row.trafficThreads;
    Dispatcher dispatcher(limits);
    FleetView fleet;
    fleet.largestSize = row.members;
    fleet.stableSince = row.stableSince;
    dispatcher.apply(TestDirectory::make({ { "near-1" } }, 2), fleet, start);
    const auto plan = dispatcher.admit({ "shop", "/lookups/1", "GET" }, std::nullopt, start);
    cr_assert(plan.has_value());
    const double slack = dispatcher.retryBalance(plan->service(), start).slack;
    cr_expect_float_eq(slack, row.slack, 1e-9, "%s: %f", row.name, slack);
}

struct StopRow {
    const char* name;
    Duration sinceStop;
    Duration timeLeft; // Of the caller.
    std::optional<Duration> limit; // Time limit of the plan; empty if the request is refused.
};

// The process takes requests with later time limits for 400 ms and must have answered all after 800 ms. The route's
// timeout is 1 s, its latency goal 300 ms.
const StopRow stopRows[] = {
    { "ends before the stop", 100ms, 500ms, 500ms },
    { "would end after the stop", 100ms, 1000ms, 700ms },
    { "route would end after the stop", 300ms, 5000ms, 500ms },
    { "late, ends before the stop", 450ms, 350ms, 350ms },
    { "late, would end after the stop", 450ms, 500ms, std::nullopt },
    { "too late for its goal, ends before the stop", 700ms, 90ms, 90ms },
};

// Guards against a request that a stopping process takes although it may end before the response: the caller could not
// know whether it had run.
ParameterizedTestParameters(Dispatcher, takesOnlyWhatItCanAnswer) { return rowIndices(stopRows); }

ParameterizedTest(std::size_t* index, Dispatcher, takesOnlyWhatItCanAnswer)
{
    const auto& row = stopRows[*index];
    DispatcherFixture fixture(threeDataCentres);
    fixture.dispatcher().stop({ fixture.now() + 400ms, fixture.now() + 800ms });
    fixture.advance(row.sinceStop);
    const auto plan = fixture.dispatcher().admit({ "shop", "/orders/1", "POST" }, row.timeLeft, fixture.now());
    cr_assert_eq(plan.has_value(), row.limit.has_value(), "%s", row.name);
    if (plan)
        cr_expect(plan->deadline() - fixture.now() == *row.limit, "%s", row.name);
    else
        cr_expect(plan.error() == ErrorKind::Draining, "%s", row.name);
}

struct ChoiceRow {
    const char* name;
    const char* path;
    Load loads[6];
    const char* sentTo; // Empty if refused.
    std::size_t probeRounds;
};

const ChoiceRow choiceRows[] = {
    { "a lightly loaded endpoint in the local data centre is chosen", "/lookups/1",
        { { "near-1", 1 }, { "near-2", 0, 5 } }, "near-1", 1 },
    { "an endpoint with a free slot is preferred to a full one", "/lookups/1", { { "near-1", 3 }, { "near-2", 2 } },
        "near-2", 1 },
    { "all local endpoints slowed: the region is probed", "/lookups/1",
        { { "near-1", 0, 8 }, { "near-2", 0, 8 }, { "region-1", 0 }, { "region-2", 3 } }, "region-1", 2 },
    { "all local endpoints full: the region is probed", "/orders/1",
        { { "near-1", 3 }, { "near-2", 3 }, { "region-1", 3 }, { "region-2", 1 } }, "region-2", 2 },
    { "the region is full too: other regions are probed", "/lookups/1",
        { { "near-1", 3 }, { "near-2", 3 }, { "region-1", 3 }, { "region-2", 3 }, { "far-1", 1 }, { "far-2", 3 } },
        "far-1", 3 },
    { "all endpoints full: refused immediately", "/lookups/1",
        { { "near-1", 3 }, { "near-2", 3 }, { "region-1", 3 }, { "region-2", 3 }, { "far-1", 3 }, { "far-2", 3 } }, "",
        3 },
    { "an endpoint that reports itself unhealthy is chosen last", "/lookups/1",
        { { "near-1", 0, 1, HealthStatus::Unhealthy }, { "near-2", 2 } }, "near-2", 1 },
    { "an endpoint that does not respond to probes is not chosen", "/lookups/1", { { "near-2", 2 } }, "near-2", 1 },
};

// Guards against requests that wait at a slowed or full endpoint while another is free, and against needless use of
// links between data centres.
ParameterizedTestParameters(Dispatcher, choosesEndpoint) { return rowIndices(choiceRows); }

ParameterizedTest(std::size_t* index, Dispatcher, choosesEndpoint)
{
    const auto& row = choiceRows[*index];
    DispatcherFixture fixture(threeDataCentres);
    fixture.setLoads(row.loads, std::size(row.loads));
    auto plan = fixture.admit(row.path);
    const auto action = fixture.decide(plan);
    cr_expect(endpointOf(action) == row.sentTo, "%s: %s", row.name, endpointOf(action).c_str());
    cr_expect_eq(fixture.probeRounds, row.probeRounds, "%s: %zu probe rounds", row.name, fixture.probeRounds);
    if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
        cr_expect_eq(refusal->outcome, Outcome::NotRun, "%s", row.name);
        cr_expect(refusal->retryAfter.has_value(), "%s: no retry time", row.name);
    }
}

struct FailureRow {
    const char* name;
    const char* path;
    unsigned maxAttempts;
    double slack; // Retry budget of the member.
    EndpointEvidence evidence;
    SendFailure failure;
    bool isRepeated;
    Outcome outcome; // If it is not retried.
};

const FailureRow failureRows[] = {
    { "idempotent, connection broken", "/lookups/1", 2, 100, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, false, true }, true, Outcome::Unknown },
    { "idempotent, connection broken, retry budget empty", "/lookups/1", 2, 0, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, false, true }, false, Outcome::Unknown },
    { "idempotent, attempts used up", "/lookups/1", 1, 100, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, false, true }, false, Outcome::Unknown },
    { "not idempotent, connection broken", "/orders/1", 2, 100, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, false, true }, false, Outcome::Unknown },
    { "not idempotent, no response", "/orders/1", 2, 100, EndpointEvidence::TimedOut,
        { ErrorKind::DeadlineExceeded, false, true }, false, Outcome::Unknown },
    { "not idempotent, refused with proof", "/orders/1", 2, 100, EndpointEvidence::Refused,
        { ErrorKind::UpstreamRefused, true, true }, true, Outcome::NotRun },
    { "not idempotent, refused with proof, retry budget empty", "/orders/1", 2, 0, EndpointEvidence::Refused,
        { ErrorKind::UpstreamRefused, true, true }, false, Outcome::NotRun },
    { "not idempotent, not connected, not charged to the retry budget", "/orders/1", 2, 0, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, true, false }, true, Outcome::NotRun },
    { "a refusal with proof does not count as an attempt", "/orders/1", 1, 100, EndpointEvidence::Refused,
        { ErrorKind::UpstreamRefused, true, true }, true, Outcome::NotRun },
};

// Guards against running a request twice, against reporting "not run" without proof, and against retries beyond the
// budget.
ParameterizedTestParameters(Dispatcher, retriesOnlyWhenSafe) { return rowIndices(failureRows); }

ParameterizedTest(std::size_t* index, Dispatcher, retriesOnlyWhenSafe)
{
    const auto& row = failureRows[*index];
    DispatcherFixture fixture(threeDataCentres, row.maxAttempts, row.slack);
    const Load loads[] = { { "near-1" }, { "near-2" } };
    fixture.setLoads(loads, std::size(loads));
    auto plan = fixture.admit(row.path);
    const auto first = fixture.decide(plan);
    fixture.fail(plan, std::get<SendRequest>(first), row.evidence, row.failure);
    const auto second = fixture.decide(plan);
    const auto* refusal = std::get_if<RefuseRequest>(&second);
    cr_assert_eq(refusal == nullptr, row.isRepeated, "%s", row.name);
    if (!refusal) {
        cr_expect(endpointOf(first) != endpointOf(second), "%s: retried at the same endpoint", row.name);
        return;
    }
    cr_expect_eq(refusal->outcome, row.outcome, "%s", row.name);
    const auto status = answerFor(refusal->kind).status;
    cr_expect_eq(status == 503 || status == 429, row.outcome == Outcome::NotRun, "%s: status %u", row.name, status);
}

struct HedgeRow {
    const char* name;
    const char* path;
    double slack;
    Load second; // Load of the other endpoint when the hedge is due.
    bool isRequested; // The first attempt sets a hedge delay.
    bool isSent;
};

const HedgeRow hedgeRows[] = {
    { "idempotent, the other endpoint is idle", "/lookups/1", 100, { "near-2", 0 }, true, true },
    { "idempotent, the other endpoint is full", "/lookups/1", 100, { "near-2", 3 }, true, false },
    { "idempotent, retry budget empty", "/lookups/1", 0, { "near-2", 0 }, true, false },
    { "not idempotent", "/orders/1", 100, { "near-2", 0 }, false, false },
};

// Guards against hedging requests that are not idempotent, and against hedges that only add load.
ParameterizedTestParameters(Dispatcher, hedgesOnlyWhenUseful) { return rowIndices(hedgeRows); }

ParameterizedTest(std::size_t* index, Dispatcher, hedgesOnlyWhenUseful)
{
    const auto& row = hedgeRows[*index];
    DispatcherFixture fixture({ { "near-1" }, { "near-2" } }, 2, row.slack);
    const Load first[] = { { "near-1", 0 }, { "near-2", 3 } };
    fixture.setLoads(first, std::size(first));
    auto plan = fixture.admit(row.path);
    const auto action = fixture.decide(plan);
    const auto& sent = std::get<SendRequest>(action);
    cr_assert_eq(sent.hedgeAfter.has_value(), row.isRequested, "%s", row.name);
    if (!row.isRequested)
        return;
    fixture.dispatcher().sent(plan, sent, fixture.now());
    fixture.advance(*sent.hedgeAfter);
    fixture.setLoads(&row.second, 1);
    bool isSent = false;
    if (const auto probe = fixture.dispatcher().prepareHedge(plan, fixture.context())) {
        fixture.respond(*probe);
        const auto hedge = fixture.dispatcher().hedge(plan, fixture.context());
        isSent = hedge.has_value();
        cr_expect(!hedge || hedge->choice.endpoint == EndpointId("near-2"), "%s", row.name);
    }
    cr_expect_eq(isSent, row.isSent, "%s", row.name);
}

struct LateProbeRow {
    const char* name;
    std::optional<Duration> answeredAfter; // Since the probe before the hedge; empty for never.
    std::uint64_t running; // Load of the other endpoint, which has three slots.
    bool isSent;
    std::size_t maxRetries; // Calls of hedge() after the first.
};

const LateProbeRow lateProbeRows[] = {
    { "within the time-out of the probes", 5ms, 0, true, 0 },
    { "after it", 20ms, 0, true, 1 },
    { "later", 48ms, 0, true, 3 },
    { "within the age of a report, too late for the goal", 60ms, 0, false, 4 },
    { "after it, full", 20ms, 3, false, 1 },
    { "too late", 61ms, 0, false, 4 },
    { "never", std::nullopt, 0, false, 4 },
};

// Guards against a hedge that is given up because a busy machine reads no probe response within the time-out, though
// the first attempt may hang until the deadline, and against a hedge that is tried without end.
ParameterizedTestParameters(Dispatcher, hedgesAfterLateProbes) { return rowIndices(lateProbeRows); }

ParameterizedTest(std::size_t* index, Dispatcher, hedgesAfterLateProbes)
{
    const auto& row = lateProbeRows[*index];
    DispatcherFixture fixture({ { "near-1" }, { "near-2" } });
    const Load loads[] = { { "near-1", 0 }, { "near-2", 3 } };
    fixture.setLoads(loads, std::size(loads));
    auto& dispatcher = fixture.dispatcher();
    auto plan = fixture.admit("/lookups/1");
    const auto action = fixture.decide(plan);
    const auto& first = std::get<SendRequest>(action);
    dispatcher.sent(plan, first, fixture.now());
    fixture.advance(*first.hedgeAfter);
    const auto probe = dispatcher.prepareHedge(plan, fixture.context());
    cr_assert(probe.has_value(), "%s", row.name);
    const TimePoint probedAt = fixture.now();
    bool isAnswered = false;
    const auto wait = [&](Duration time) {
        const auto until = fixture.now() + time;
        if (row.answeredAfter && !isAnswered && until - probedAt >= *row.answeredAfter) {
            isAnswered = true;
            const LoadReport report { SlotCount(row.running), SlotCount(0), SlotCount(3), 1 };
            dispatcher.endpoints().recordProbeResponse(EndpointId("near-2"), report, HealthStatus::Healthy, probedAt);
        }
        fixture.advance(time);
    };
    wait(std::min(probe->timeout, row.answeredAfter.value_or(probe->timeout)));
    std::size_t retries = 0;
    auto hedge = dispatcher.hedge(plan, fixture.context());
    while (!hedge) {
        const auto delay = dispatcher.hedgeRetryDelay(plan, fixture.now());
        if (!delay)
            break;
        wait(*delay);
        ++retries;
        hedge = dispatcher.hedge(plan, fixture.context());
    }
    cr_expect_eq(hedge.has_value(), row.isSent, "%s", row.name);
    cr_expect(!hedge || hedge->choice.endpoint == EndpointId("near-2"), "%s", row.name);
    cr_expect_leq(retries, row.maxRetries, "%s: %zu retries", row.name, retries);
}

struct AdmitRow {
    const char* name;
    const char* hostName;
    const char* path;
    std::optional<ErrorKind> error;
};

const AdmitRow admitRows[] = {
    { "longest prefix", "shop", "/lookups/1", {} },
    { "host name in upper case", "SHOP", "/lookups/1", {} },
    { "different host", "other", "/lookups/1", ErrorKind::NoRoute },
    { "different path", "shop", "/elsewhere/1", ErrorKind::NoRoute },
    { "the prefix alone", "shop", "/lookups/", {} },
    { "part of a segment", "shop", "/lookupsx/1", ErrorKind::NoRoute },
};

// Guards against requests that match the route of another service.
ParameterizedTestParameters(Dispatcher, matchesRoutes) { return rowIndices(admitRows); }

ParameterizedTest(std::size_t* index, Dispatcher, matchesRoutes)
{
    const auto& row = admitRows[*index];
    DispatcherFixture fixture(threeDataCentres);
    const auto plan = fixture.dispatcher().admit({ row.hostName, row.path, "GET" }, std::nullopt, fixture.now());
    cr_expect_eq(plan.has_value(), !row.error, "%s", row.name);
    cr_expect(plan || plan.error() == *row.error, "%s", row.name);
}

// Guards against serving requests before a configuration is known.
Test(Dispatcher, refusesWithoutDirectory)
{
    Dispatcher dispatcher { DispatchLimits {} };
    const auto plan = dispatcher.admit({ "shop", "/lookups/1", "GET" }, std::nullopt, start);
    cr_assert_not(plan.has_value());
    cr_expect_eq(plan.error(), ErrorKind::NotReady);
}

struct TimeRow {
    const char* name;
    std::optional<Duration> timeLeft;
    Duration deadline; // Relative to the arrival.
    bool isRepeat;
};

const TimeRow timeRows[] = {
    { "no remaining time stated", {}, 1s, false },
    { "remaining time above the timeout of the route", 1200ms, 1s, false },
    { "retry by the caller", 700ms, 700ms, true },
};

// Guards against endpoints that work longer than their callers wait, and against refusing the retry of a refused
// caller.
ParameterizedTestParameters(Dispatcher, setsDeadline) { return rowIndices(timeRows); }

ParameterizedTest(std::size_t* index, Dispatcher, setsDeadline)
{
    const auto& row = timeRows[*index];
    DispatcherFixture fixture(threeDataCentres);
    fixture.admit("/lookups/1", 1200ms);
    const auto plan = fixture.admit("/lookups/2", row.timeLeft);
    cr_expect(plan.deadline() - plan.receivedAt() == row.deadline, "%s", row.name);
    cr_expect_eq(plan.isRepeat(), row.isRepeat, "%s", row.name);
}
