#include "TableRows.h"

#include "TestDirectory.h"
#include "dogwoodhall/dispatch/Dispatcher.h"

#include <cstring>
#include <map>

using namespace dogwoodhall;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 100s };

// What an endpoint answers to a health call.
struct Load {
    const char* endpoint;
    std::uint64_t running = 0;
    double slowdown = 1;
    HealthWord word = HealthWord::Healthy;
};

// A dispatcher, its endpoints and one request.
class Dispatching {
public:
    explicit Dispatching(const std::vector<TestEndpoint>& endpoints, unsigned maxAttempts = 2, double slack = 100)
        : m_dispatcher(limits(slack))
    {
        m_dispatcher.apply(TestDirectory::make(endpoints, maxAttempts), 1, m_now);
        // A member's part of the retry slack grows over its first window.
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

    // Answers the questions of the plan until it is sent or refused.
    RequestAction settle(RequestPlan& plan)
    {
        while (true) {
            auto action = m_dispatcher.next(plan, context());
            const auto* question = std::get_if<AskEndpoints>(&action);
            if (!question)
                return action;
            answer(*question);
        }
    }

    void answer(const AskEndpoints& question)
    {
        const TimePoint sentAt = m_now;
        m_now = m_now + 1ms;
        ++rounds;
        for (const auto& endpoint : question.endpoints) {
            const auto& id = endpoint.registration->id;
            const auto it = m_loads.find(id.value());
            if (it == m_loads.end()) {
                m_dispatcher.endpoints().healthUnanswered(id, false, m_now);
                continue;
            }
            const LoadReport report { SlotCount(it->second.running), SlotCount(0), SlotCount(3), it->second.slowdown };
            m_dispatcher.endpoints().healthAnswered(id, report, it->second.word, sentAt);
        }
    }

    // Sends the request to where the action says and lets it fail after a millisecond.
    void fail(RequestPlan& plan, const SendRequest& action, EndpointEvidence evidence, SendFailure failure)
    {
        const TimePoint sentAt = m_now;
        m_dispatcher.sent(plan, action, sentAt);
        m_now = m_now + 1ms;
        m_dispatcher.failed(plan, action, evidence, failure, sentAt, m_now);
    }

    void pass(Duration time) { m_now = m_now + time; }
    DecisionContext context() { return { m_now, m_random }; }
    Dispatcher& dispatcher() { return m_dispatcher; }
    TimePoint now() const { return m_now; }

    std::size_t rounds = 0; // Of health calls.

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

const std::vector<TestEndpoint> threeCentres { { "near-1" }, { "near-2" }, { "region-1", "a2" }, { "region-2", "a2" },
    { "far-1", "b1" }, { "far-2", "b1" } };

std::string endpointOf(const RequestAction& action)
{
    const auto* sent = std::get_if<SendRequest>(&action);
    return sent ? sent->choice.endpoint.value() : "";
}

} // namespace

struct PlaceRow {
    const char* name;
    const char* path;
    Load loads[6];
    const char* sentTo; // Empty: refused.
    std::size_t rounds;
};

const PlaceRow placeRows[] = {
    { "a calm endpoint near by is taken", "/lookups/1", { { "near-1", 1 }, { "near-2", 0, 5 } }, "near-1", 1 },
    { "an endpoint with a free slot goes before a full one", "/lookups/1", { { "near-1", 3 }, { "near-2", 2 } },
        "near-2", 1 },
    { "all near ones slowed: the region is asked", "/lookups/1",
        { { "near-1", 0, 8 }, { "near-2", 0, 8 }, { "region-1", 0 }, { "region-2", 3 } }, "region-1", 2 },
    { "all near ones full: the region is asked", "/orders/1",
        { { "near-1", 3 }, { "near-2", 3 }, { "region-1", 3 }, { "region-2", 1 } }, "region-2", 2 },
    { "the region is full too: other regions are asked", "/lookups/1",
        { { "near-1", 3 }, { "near-2", 3 }, { "region-1", 3 }, { "region-2", 3 }, { "far-1", 1 }, { "far-2", 3 } },
        "far-1", 3 },
    { "everything is full: refused at once", "/lookups/1",
        { { "near-1", 3 }, { "near-2", 3 }, { "region-1", 3 }, { "region-2", 3 }, { "far-1", 3 }, { "far-2", 3 } }, "",
        3 },
    { "an endpoint that says it is unhealthy comes last", "/lookups/1",
        { { "near-1", 0, 1, HealthWord::Unhealthy }, { "near-2", 2 } }, "near-2", 1 },
    { "an endpoint that does not answer is not chosen", "/lookups/1", { { "near-2", 2 } }, "near-2", 1 },
};

// Guards against requests that wait at a slowed or full endpoint while another is free, and against crossing links
// without need.
ParameterizedTestParameters(Dispatcher, places) { return rowIndices(placeRows); }

ParameterizedTest(std::size_t* index, Dispatcher, places)
{
    const auto& row = placeRows[*index];
    Dispatching world(threeCentres);
    world.setLoads(row.loads, std::size(row.loads));
    auto plan = world.admit(row.path);
    const auto action = world.settle(plan);
    cr_expect(endpointOf(action) == row.sentTo, "%s: %s", row.name, endpointOf(action).c_str());
    cr_expect_eq(world.rounds, row.rounds, "%s: %zu rounds", row.name, world.rounds);
    if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
        cr_expect_eq(refusal->outcome, Outcome::NotRun, "%s", row.name);
        cr_expect(refusal->retryAfter.has_value(), "%s: no time to come back", row.name);
    }
}

struct FailureRow {
    const char* name;
    const char* path;
    unsigned maxAttempts;
    double slack; // Retries that the member may make.
    EndpointEvidence evidence;
    SendFailure failure;
    bool isRepeated;
    Outcome outcome; // Where it is not repeated.
};

const FailureRow failureRows[] = {
    { "idempotent, cut off", "/lookups/1", 2, 100, EndpointEvidence::Broken, { ErrorKind::UpstreamFailed, false, true },
        true, Outcome::Unknown },
    { "idempotent, cut off, no retry left", "/lookups/1", 2, 0, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, false, true }, false, Outcome::Unknown },
    { "idempotent, attempts used up", "/lookups/1", 1, 100, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, false, true }, false, Outcome::Unknown },
    { "not idempotent, cut off", "/orders/1", 2, 100, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, false, true }, false, Outcome::Unknown },
    { "not idempotent, no answer", "/orders/1", 2, 100, EndpointEvidence::Silent,
        { ErrorKind::DeadlineExceeded, false, true }, false, Outcome::Unknown },
    { "not idempotent, refused with proof", "/orders/1", 2, 100, EndpointEvidence::Refused,
        { ErrorKind::UpstreamRefused, true, true }, true, Outcome::NotRun },
    { "not idempotent, refused with proof, no retry left", "/orders/1", 2, 0, EndpointEvidence::Refused,
        { ErrorKind::UpstreamRefused, true, true }, false, Outcome::NotRun },
    { "not idempotent, not connected, which costs no retry", "/orders/1", 2, 0, EndpointEvidence::Broken,
        { ErrorKind::UpstreamFailed, true, false }, true, Outcome::NotRun },
    { "refused with proof does not use up attempts", "/orders/1", 1, 100, EndpointEvidence::Refused,
        { ErrorKind::UpstreamRefused, true, true }, true, Outcome::NotRun },
};

// Guards against a request that runs twice, against "not run" without proof, and against retries beyond the budget.
ParameterizedTestParameters(Dispatcher, repeats) { return rowIndices(failureRows); }

ParameterizedTest(std::size_t* index, Dispatcher, repeats)
{
    const auto& row = failureRows[*index];
    Dispatching world(threeCentres, row.maxAttempts, row.slack);
    const Load loads[] = { { "near-1" }, { "near-2" } };
    world.setLoads(loads, std::size(loads));
    auto plan = world.admit(row.path);
    const auto first = world.settle(plan);
    world.fail(plan, std::get<SendRequest>(first), row.evidence, row.failure);
    const auto second = world.settle(plan);
    const auto* refusal = std::get_if<RefuseRequest>(&second);
    cr_assert_eq(refusal == nullptr, row.isRepeated, "%s", row.name);
    if (!refusal) {
        cr_expect(endpointOf(first) != endpointOf(second), "%s: same endpoint", row.name);
        return;
    }
    cr_expect_eq(refusal->outcome, row.outcome, "%s", row.name);
    const auto status = answerFor(refusal->kind).status;
    cr_expect_eq(status == 503 || status == 429, row.outcome == Outcome::NotRun, "%s: status %u", row.name, status);
}

struct CopyRow {
    const char* name;
    const char* path;
    double slack;
    Load second; // The load of the other endpoint when the copy is due.
    bool isDue; // The first sending asks for a copy.
    bool isSent;
};

const CopyRow copyRows[] = {
    { "idempotent, another endpoint is calm", "/lookups/1", 100, { "near-2", 0 }, true, true },
    { "idempotent, the other endpoint is full", "/lookups/1", 100, { "near-2", 3 }, true, false },
    { "idempotent, no retry left", "/lookups/1", 0, { "near-2", 0 }, true, false },
    { "not idempotent", "/orders/1", 100, { "near-2", 0 }, false, false },
};

// Guards against copies of what must run once, and against copies that only add load.
ParameterizedTestParameters(Dispatcher, copies) { return rowIndices(copyRows); }

ParameterizedTest(std::size_t* index, Dispatcher, copies)
{
    const auto& row = copyRows[*index];
    Dispatching world({ { "near-1" }, { "near-2" } }, 2, row.slack);
    const Load first[] = { { "near-1", 0 }, { "near-2", 3 } };
    world.setLoads(first, std::size(first));
    auto plan = world.admit(row.path);
    const auto action = world.settle(plan);
    const auto& sent = std::get<SendRequest>(action);
    cr_assert_eq(sent.copyAfter.has_value(), row.isDue, "%s", row.name);
    if (!row.isDue)
        return;
    world.dispatcher().sent(plan, sent, world.now());
    world.pass(*sent.copyAfter);
    world.setLoads(&row.second, 1);
    bool isSent = false;
    if (const auto question = world.dispatcher().askForCopy(plan, world.context())) {
        world.answer(*question);
        const auto copy = world.dispatcher().copy(plan, world.context());
        isSent = copy.has_value();
        cr_expect(!copy || copy->choice.endpoint == EndpointId("near-2"), "%s", row.name);
    }
    cr_expect_eq(isSent, row.isSent, "%s", row.name);
}

struct AdmitRow {
    const char* name;
    const char* hostName;
    const char* path;
    std::optional<ErrorKind> error;
};

const AdmitRow admitRows[] = {
    { "longest prefix", "shop", "/lookups/1", {} },
    { "host name in capitals", "SHOP", "/lookups/1", {} },
    { "other host", "other", "/lookups/1", ErrorKind::NoRoute },
    { "other path", "shop", "/elsewhere/1", ErrorKind::NoRoute },
    { "the prefix alone", "shop", "/lookups/", {} },
    { "part of a segment", "shop", "/lookupsx/1", ErrorKind::NoRoute },
};

// Guards against requests that take another service's route.
ParameterizedTestParameters(Dispatcher, admits) { return rowIndices(admitRows); }

ParameterizedTest(std::size_t* index, Dispatcher, admits)
{
    const auto& row = admitRows[*index];
    Dispatching world(threeCentres);
    const auto plan = world.dispatcher().admit({ row.hostName, row.path, "GET" }, std::nullopt, world.now());
    cr_expect_eq(plan.has_value(), !row.error, "%s", row.name);
    cr_expect(plan || plan.error() == *row.error, "%s", row.name);
}

// Guards against a request that is served before a configuration is known.
Test(Dispatcher, refusesWithoutADirectory)
{
    Dispatcher dispatcher { DispatchLimits {} };
    const auto plan = dispatcher.admit({ "shop", "/lookups/1", "GET" }, std::nullopt, start);
    cr_assert_not(plan.has_value());
    cr_expect_eq(plan.error(), ErrorKind::NotReady);
}

struct TimeRow {
    const char* name;
    std::optional<Duration> timeLeft;
    Duration limit; // From the arrival.
    bool isRepeat;
};

const TimeRow timeRows[] = {
    { "the caller does not say", {}, 1s, false },
    { "the caller waits longer than the route allows", 1200ms, 1s, false },
    { "the caller has come back", 700ms, 700ms, true },
};

// Guards against an endpoint that works longer than its caller waits, and against callers that are sent away twice.
ParameterizedTestParameters(Dispatcher, limitsTime) { return rowIndices(timeRows); }

ParameterizedTest(std::size_t* index, Dispatcher, limitsTime)
{
    const auto& row = timeRows[*index];
    Dispatching world(threeCentres);
    world.admit("/lookups/1", 1200ms);
    const auto plan = world.admit("/lookups/2", row.timeLeft);
    cr_expect(plan.limit() - plan.receivedAt() == row.limit, "%s", row.name);
    cr_expect_eq(plan.isRepeat(), row.isRepeat, "%s", row.name);
}
