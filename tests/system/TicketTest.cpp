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
        waitForAgreedHome({ &cluster.daemon(issuer), &cluster.daemon(other) });
        ticket = takeTicket(cluster.daemon(issuer));
    }

    TestRequest request(const std::string& target = "/a", const std::string& body = order) const
    {
        return { "POST", target, "Dogwoodhall-Ticket: " + ticket + "\r\n", body, "only" };
    }

    Response use(std::size_t member, const std::string& target = "/a", const std::string& body = order)
    {
        return call(cluster.daemon(member).caller, request(target, body));
    }

    // Starts a request that takes one second, and returns once it runs.
    std::unique_ptr<TestClient> start(std::size_t member)
    {
        auto client = std::make_unique<TestClient>(cluster.daemon(member).caller);
        client->send(request("/a?delay_ms=1000").text());
        if (!eventually([&] { return cluster.runs("only") == 1; })) {
            const auto response = client->readResponse();
            cr_assert_fail("did not start: %u %s", response.status, response.field("Dogwoodhall-Error").c_str());
        }
        return client;
    }
};

void expectResponse(const char* name, const Response& response, unsigned status, const std::string& error = {},
    const std::string& outcome = {})
{
    const auto kind = response.field("Dogwoodhall-Error");
    cr_assert(response.isComplete, "%s: no complete response", name);
    cr_assert_eq(response.status, status, "%s: status %u %s", name, response.status, kind.c_str());
    cr_assert_eq(kind, error, "%s: %s", name, kind.c_str());
    cr_assert(outcome.empty() || response.field("Dogwoodhall-Outcome") == outcome, "%s: outcome", name);
}

struct TicketUse {
    const char* name;
    std::size_t first; // Member that gets the first use of the ticket.
    std::size_t repeat; // Member that gets the repeat.
};

void repeated(TicketCase& test, const TicketUse& ticketUse)
{
    const auto first = test.use(ticketUse.first);
    expectResponse(ticketUse.name, first, 200);
    for (int n = 0; n < 3; ++n) {
        const auto again = test.use(ticketUse.repeat);
        expectResponse(ticketUse.name, again, 200);
        cr_assert_eq(again.body, first.body, "%s", ticketUse.name);
    }
}

void repeatedWhileItRuns(TicketCase& test, const TicketUse& ticketUse)
{
    auto client = test.start(ticketUse.first);
    expectResponse(ticketUse.name, test.use(ticketUse.repeat, "/a?delay_ms=1000"), 409, "ticket-in-progress");
    expectResponse(ticketUse.name, client->readResponse(), 200);
}

void usedForAnotherBody(TicketCase& test, const TicketUse& ticketUse)
{
    expectResponse(ticketUse.name, test.use(ticketUse.first), 200);
    expectResponse(ticketUse.name, test.use(ticketUse.repeat, "/a", "another"), 422, "ticket-misused");
}

void callerDisconnects(TicketCase& test, const TicketUse& ticketUse)
{
    test.start(ticketUse.first)->abortConnection();
    Response response;
    cr_assert(eventually([&] {
        response = test.use(ticketUse.repeat, "/a?delay_ms=1000");
        return response.field("Dogwoodhall-Error") != "ticket-in-progress";
    }));
    expectResponse(ticketUse.name, response, 200);
    cr_assert(response.body.ends_with(" received 5 bytes\n"), "%s", ticketUse.name);
}

void issuerKilled(TicketCase& test, const TicketUse& ticketUse)
{
    auto client = test.start(ticketUse.first);
    test.cluster.daemon(issuer).process.kill();
    const auto first = client->readResponse();
    cr_assert_neq(first.status, 200, "%s", ticketUse.name);
    const auto again = test.use(ticketUse.repeat, "/a?delay_ms=1000");
    cr_assert_eq(again.field("Dogwoodhall-Outcome"), "unknown", "%s", ticketUse.name);
}

void issuerRestarted(TicketCase& test, const TicketUse& ticketUse)
{
    expectResponse(ticketUse.name, test.use(ticketUse.first), 200);
    test.cluster.restartDaemon(issuer);
    test.cluster.waitUntilReady(test.cluster.daemon(issuer));
    Response again;
    // The other member may still use the issuer's former address.
    cr_assert(eventually([&] {
        again = test.use(ticketUse.repeat);
        cr_assert_eq(again.field("Dogwoodhall-Outcome"), "unknown", "%s", ticketUse.name);
        return again.field("Dogwoodhall-Error") != "peer-failed";
    }));
    expectResponse(ticketUse.name, again, 409, "ticket-unknown", "unknown");
}

void upstreamsRefuse(TicketCase& test, const TicketUse& ticketUse)
{
    for (const std::size_t n : { 0, 1 })
        test.cluster.setMode(n, "refuse=1");
    const auto refused = test.use(ticketUse.first);
    cr_assert_eq(refused.field("Dogwoodhall-Outcome"), "not-run", "%s", ticketUse.name);
    cr_assert_eq(test.cluster.runs("only"), 0, "%s", ticketUse.name);
    for (const std::size_t n : { 0, 1 })
        test.cluster.setMode(n, "");
    Response again;
    // The pool avoids an endpoint that has just failed for a short time.
    cr_assert(eventually([&] { return (again = test.use(ticketUse.repeat)).status == 200; }), "%s", ticketUse.name);
    expectResponse(ticketUse.name, test.use(ticketUse.repeat), 200);
}

void malformed(TicketCase& test, const TicketUse& ticketUse)
{
    for (const std::string ticket : { "x", "e0", "e0-1", "e0-x-1", "e0-1-", "-1-1", "e0-1-99999999999999999999999" }) {
        test.ticket = ticket;
        expectResponse(ticketUse.name, test.use(ticketUse.first), 400, "bad-request", "not-run");
    }
}

} // namespace

struct TicketRow {
    TicketUse ticketUse;
    void (*run)(TicketCase&, const TicketUse&);
    std::size_t runs; // Of the request, in total.
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
    { { "caller disconnects at the issuer", issuer, issuer }, callerDisconnects, 1 },
    { { "caller disconnects elsewhere", other, other }, callerDisconnects, 1 },
    { { "caller disconnects elsewhere, repeated at the issuer", other, issuer }, callerDisconnects, 1 },
    { { "issuer killed", issuer, other }, issuerKilled, 1 },
    { { "issuer killed, used elsewhere", other, other }, issuerKilled, 1 },
    { { "issuer restarted, repeated there", issuer, issuer }, issuerRestarted, 1 },
    { { "issuer restarted, repeated elsewhere", other, other }, issuerRestarted, 1 },
    { { "upstreams refuse at the issuer", issuer, issuer }, upstreamsRefuse, 1 },
    { { "upstreams refuse elsewhere", other, other }, upstreamsRefuse, 1 },
    { { "malformed at the issuer", issuer, issuer }, malformed, 0 },
    { { "malformed elsewhere", other, other }, malformed, 0 },
};

// Guards against a request with a ticket that runs twice, gets another response when it is repeated, or is reported as
// not run although it ran.
ParameterizedTestParameters(Ticket, runsAtMostOnce) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, Ticket, runsAtMostOnce, .timeout = 120)
{
    const auto& row = rows[*index];
    TicketCase test;
    row.run(test, row.ticketUse);
    cr_assert_eq(test.cluster.runs("only"), row.runs, "%s: %zu runs", row.ticketUse.name, test.cluster.runs("only"));
}
