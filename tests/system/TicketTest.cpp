#include "MemberStatus.h"
#include "TableRows.h"

#include <memory>

using namespace dogwoodhall;

namespace {

constexpr std::size_t issuer = 0;
constexpr std::size_t other = 1;
const std::string order = "order";

// Two members and one ticket of the first.
struct TicketCase {
    Cluster cluster = Cluster::Builder().daemons(2).upstreams(2).start();
    std::string ticket;

    TicketCase()
    {
        agreedHome({ &cluster.daemon(issuer), &cluster.daemon(other) });
        ticket = takeTicket(cluster.daemon(issuer));
    }

    TestRequest request(const std::string& target = "/a", const std::string& body = order) const
    {
        return { "POST", target, "Dogwoodhall-Ticket: " + ticket + "\r\n", body, "only" };
    }

    Answer use(std::size_t member, const std::string& target = "/a", const std::string& body = order)
    {
        return call(cluster.daemon(member).caller, request(target, body));
    }

    // Starts a request that takes a second, and returns when it runs.
    std::unique_ptr<TestClient> start(std::size_t member)
    {
        auto client = std::make_unique<TestClient>(cluster.daemon(member).caller);
        client->send(request("/a?delay_ms=1000").text());
        if (!eventually([&] { return cluster.runs("only") == 1; })) {
            const auto answer = client->readAnswer();
            cr_assert_fail("did not start: %u %s", answer.status, answer.field("Dogwoodhall-Error").c_str());
        }
        return client;
    }
};

void expect(const char* name, const Answer& answer, unsigned status, const std::string& error = {},
    const std::string& outcome = {})
{
    const auto kind = answer.field("Dogwoodhall-Error");
    cr_assert(answer.isWhole, "%s: not answered", name);
    cr_assert_eq(answer.status, status, "%s: status %u %s", name, answer.status, kind.c_str());
    cr_assert_eq(kind, error, "%s: %s", name, kind.c_str());
    cr_assert(outcome.empty() || answer.field("Dogwoodhall-Outcome") == outcome, "%s: outcome", name);
}

struct Pass {
    const char* name;
    std::size_t first; // Member that gets the first use of the ticket.
    std::size_t repeat; // Member that gets the repeat.
};

void repeated(TicketCase& test, const Pass& pass)
{
    const auto first = test.use(pass.first);
    expect(pass.name, first, 200);
    for (int n = 0; n < 3; ++n) {
        const auto again = test.use(pass.repeat);
        expect(pass.name, again, 200);
        cr_assert_eq(again.body, first.body, "%s", pass.name);
    }
}

void repeatedWhileItRuns(TicketCase& test, const Pass& pass)
{
    auto client = test.start(pass.first);
    expect(pass.name, test.use(pass.repeat, "/a?delay_ms=1000"), 409, "ticket-in-progress");
    expect(pass.name, client->readAnswer(), 200);
}

void usedForAnotherBody(TicketCase& test, const Pass& pass)
{
    expect(pass.name, test.use(pass.first), 200);
    expect(pass.name, test.use(pass.repeat, "/a", "another"), 422, "ticket-misused");
}

void callerCut(TicketCase& test, const Pass& pass)
{
    test.start(pass.first)->cut();
    Answer answer;
    cr_assert(eventually([&] {
        answer = test.use(pass.repeat, "/a?delay_ms=1000");
        return answer.field("Dogwoodhall-Error") != "ticket-in-progress";
    }));
    expect(pass.name, answer, 200);
    cr_assert(answer.body.ends_with(" received 5 bytes\n"), "%s", pass.name);
}

void issuerKilled(TicketCase& test, const Pass& pass)
{
    auto client = test.start(pass.first);
    test.cluster.daemon(issuer).process.kill();
    const auto first = client->readAnswer();
    cr_assert_neq(first.status, 200, "%s", pass.name);
    const auto again = test.use(pass.repeat, "/a?delay_ms=1000");
    cr_assert_eq(again.field("Dogwoodhall-Outcome"), "unknown", "%s", pass.name);
}

void issuerRestarted(TicketCase& test, const Pass& pass)
{
    expect(pass.name, test.use(pass.first), 200);
    test.cluster.restartDaemon(issuer);
    test.cluster.waitReady(test.cluster.daemon(issuer));
    Answer again;
    // The other member may still know the issuer's former address.
    cr_assert(eventually([&] {
        again = test.use(pass.repeat);
        cr_assert_eq(again.field("Dogwoodhall-Outcome"), "unknown", "%s", pass.name);
        return again.field("Dogwoodhall-Error") != "peer-failed";
    }));
    expect(pass.name, again, 409, "ticket-unknown", "unknown");
}

void upstreamsRefuse(TicketCase& test, const Pass& pass)
{
    for (const std::size_t n : { 0, 1 })
        test.cluster.setMode(n, "refuse=1");
    const auto refused = test.use(pass.first);
    cr_assert_eq(refused.field("Dogwoodhall-Outcome"), "not-run", "%s", pass.name);
    cr_assert_eq(test.cluster.runs("only"), 0, "%s", pass.name);
    for (const std::size_t n : { 0, 1 })
        test.cluster.setMode(n, "");
    Answer again;
    // The pool avoids an endpoint that has just failed for a short time.
    cr_assert(eventually([&] { return (again = test.use(pass.repeat)).status == 200; }), "%s", pass.name);
    expect(pass.name, test.use(pass.repeat), 200);
}

void malformed(TicketCase& test, const Pass& pass)
{
    for (const std::string ticket : { "x", "e0", "e0-1", "e0-x-1", "e0-1-", "-1-1", "e0-1-99999999999999999999999" }) {
        test.ticket = ticket;
        expect(pass.name, test.use(pass.first), 400, "bad-request", "not-run");
    }
}

} // namespace

struct TicketRow {
    Pass pass;
    void (*run)(TicketCase&, const Pass&);
    std::size_t runs; // Of the request in the end.
};

const TicketRow rows[] = {
    { { "issuer, repeated there", issuer, issuer }, repeated, 1 },
    { { "issuer, repeated elsewhere", issuer, other }, repeated, 1 },
    { { "elsewhere, repeated there", other, other }, repeated, 1 },
    { { "elsewhere, repeated at the issuer", other, issuer }, repeated, 1 },
    { { "repeated at the issuer while it runs", issuer, issuer }, repeatedWhileItRuns, 1 },
    { { "repeated elsewhere while it runs", issuer, other }, repeatedWhileItRuns, 1 },
    { { "repeated at the issuer while it runs elsewhere", other, issuer }, repeatedWhileItRuns, 1 },
    { { "another body at the issuer", issuer, issuer }, usedForAnotherBody, 1 },
    { { "another body elsewhere", issuer, other }, usedForAnotherBody, 1 },
    { { "caller cut at the issuer", issuer, issuer }, callerCut, 1 },
    { { "caller cut elsewhere", other, other }, callerCut, 1 },
    { { "caller cut elsewhere, repeated at the issuer", other, issuer }, callerCut, 1 },
    { { "issuer killed", issuer, other }, issuerKilled, 1 },
    { { "issuer killed, used elsewhere", other, other }, issuerKilled, 1 },
    { { "issuer restarted, repeated there", issuer, issuer }, issuerRestarted, 1 },
    { { "issuer restarted, repeated elsewhere", other, other }, issuerRestarted, 1 },
    { { "upstreams refuse at the issuer", issuer, issuer }, upstreamsRefuse, 1 },
    { { "upstreams refuse elsewhere", other, other }, upstreamsRefuse, 1 },
    { { "malformed at the issuer", issuer, issuer }, malformed, 0 },
    { { "malformed elsewhere", other, other }, malformed, 0 },
};

// Guards against a request with a ticket that runs twice, is answered with another answer than its first, or is said
// not to have run although it ran.
ParameterizedTestParameters(Ticket, runsAtMostOnce) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Ticket, runsAtMostOnce, .timeout = 120)
{
    const auto& row = rows[*index];
    TicketCase test;
    row.run(test, row.pass);
    cr_assert_eq(test.cluster.runs("only"), row.runs, "%s: %zu runs", row.pass.name, test.cluster.runs("only"));
}
