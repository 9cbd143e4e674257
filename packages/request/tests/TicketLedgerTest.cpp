#include "dogwoodhall/request/TicketLedger.h"

#include "TableRows.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace dogwoodhall;

namespace {

enum class Step { Begin, BeginOther, BeginEarlierRun, Finish, FinishLarge, FinishUnknown, Forget, Expire, None };
enum class Expected { Run, Replay, InProgress, Unknown, Misused };

Expected toExpected(const TicketDecision& decision)
{
    if (std::holds_alternative<RunTicket>(decision))
        return Expected::Run;
    if (std::holds_alternative<ReplayAnswer>(decision))
        return Expected::Replay;
    switch (std::get<RejectTicket>(decision).kind) {
    case ErrorKind::TicketInProgress:
        return Expected::InProgress;
    case ErrorKind::TicketMisused:
        return Expected::Misused;
    default:
        return Expected::Unknown;
    }
}

class LedgerFixture {
public:
    LedgerFixture()
        : m_ticket(m_ledger.issue(context()).value())
    {
    }

    void perform(Step step)
    {
        switch (step) {
        case Step::Begin:
            m_ledger.begin(m_ticket, 1, context());
            break;
        case Step::Finish:
            m_ledger.finish(m_ticket, { 201, {}, "granted" });
            break;
        case Step::FinishLarge:
            m_ledger.finish(m_ticket, { 201, {}, std::string(9000, 'x') });
            break;
        case Step::FinishUnknown:
            m_ledger.finishUnknown(m_ticket);
            break;
        case Step::Forget:
            m_ledger.forget(m_ticket);
            break;
        case Step::Expire:
            m_now = m_now + std::chrono::hours(2);
            break;
        default:
            break;
        }
    }

    Expected beginTicket(Step step)
    {
        Ticket ticket = m_ticket;
        if (step == Step::BeginEarlierRun)
            ticket.incarnation = Incarnation(6);
        return toExpected(m_ledger.begin(ticket, step == Step::BeginOther ? 2 : 1, context()));
    }

private:
    DecisionContext context() { return { m_now, m_random }; }

    RandomEngine m_random { 1 };
    TimePoint m_now;
    TicketLedger m_ledger { MemberId("entry.1"), Incarnation(7), {} };
    Ticket m_ticket;
};

} // namespace

struct LedgerRow {
    const char* name;
    Step first;
    Step second;
    Step beginTicket;
    Expected expected;
};

const LedgerRow rows[] = {
    { "first use", Step::None, Step::None, Step::Begin, Expected::Run },
    { "repeat while running", Step::Begin, Step::None, Step::Begin, Expected::InProgress },
    { "repeat after the response", Step::Begin, Step::Finish, Step::Begin, Expected::Replay },
    { "other request after the response", Step::Begin, Step::Finish, Step::BeginOther, Expected::Misused },
    { "other request while running", Step::Begin, Step::None, Step::BeginOther, Expected::Misused },
    { "repeat after a lost response", Step::Begin, Step::FinishUnknown, Step::Begin, Expected::Unknown },
    { "repeat after proof that it did not run", Step::Begin, Step::Forget, Step::Begin, Expected::Run },
    { "response too large to store", Step::Begin, Step::FinishLarge, Step::Begin, Expected::Unknown },
    { "unused ticket expired", Step::Expire, Step::None, Step::Begin, Expected::Unknown },
    { "running ticket past its lifetime", Step::Begin, Step::Expire, Step::Begin, Expected::InProgress },
    { "issued by an earlier run", Step::None, Step::None, Step::BeginEarlierRun, Expected::Unknown },
};

// Guards against running a request twice when its caller repeats it.
ParameterizedTestParameters(TicketLedger, runsRequestOnce) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, TicketLedger, runsRequestOnce)
{
    const auto& row = rows[*index];
    LedgerFixture fixture;
    fixture.perform(row.first);
    fixture.perform(row.second);
    cr_assert(fixture.beginTicket(row.beginTicket) == row.expected, "%s", row.name);
}

struct TicketTextRow {
    const char* text;
    bool isValid;
};

const TicketTextRow ticketTexts[] = {
    { "entry.1.7.ff", true },
    { "entry-1.a.0", true },
    { "entry-1.a", false },
    { ".a.0", false },
    { "entry-1..0", false },
    { "entry-1.g.0", false },
    { "entry-1.a.11111111111111111", false },
    { "", false },
};

// Guards against malformed tickets that crash the parser or yield a wrong issuer.
ParameterizedTestParameters(Ticket, parsesText) { return rowIndices(ticketTexts); }

ParameterizedTest(std::size_t* index, Ticket, parsesText)
{
    const auto& row = ticketTexts[*index];
    auto ticket = parseTicket(row.text);
    cr_assert_eq(ticket.has_value(), row.isValid, "%s", row.text);
    const std::string text = ticket ? toString(*ticket) : row.text;
    cr_assert_str_eq(text.c_str(), row.text);
}

// Guards against unbounded memory use, and against issuing a ticket that cannot be stored.
Test(TicketLedger, refusesNewTicketsWhenFull)
{
    RandomEngine random(1);
    TicketLimits limits;
    limits.memory = ByteCount(100 * 1024);
    TicketLedger ledger(MemberId("m"), Incarnation(1), limits);
    int issued = 0;
    while (ledger.issue({ TimePoint(), random }))
        ++issued;
    cr_assert_gt(issued, 5);
    cr_assert_leq(ledger.memoryUsed().count(), limits.memory.count());
    cr_assert(ledger.issue({ TimePoint(std::chrono::hours(2)), random }));
}
