// Measures the cost of tickets at their issuer: memory per ticket by state and response size, and processor time by the
// number of tickets held.
#include "SlopeFit.h"
#include "dogwoodhall/request/TicketLedger.h"

#include <cstdlib>

using namespace dogwoodhall;

namespace {

constexpr TicketLimits limits { ByteCount(1ULL << 32), ByteCount(8 * 1024), std::chrono::hours(1) };

TicketLedger makeLedger() { return { MemberId("entry-host-1"), Incarnation(1'764'800'000'000), limits }; }

StoredAnswer answerOf(std::size_t bytes)
{
    return { 201,
        { { "Content-Type", "application/json" }, { "Date", "Fri, 04 Dec 2026 14:00:00 GMT" },
            { "Server", "upstream" } },
        std::string(bytes, 'x') };
}

Ticket issue(TicketLedger& ledger, RandomEngine& random)
{
    const auto ticket = ledger.issue({ TimePoint(), random });
    if (!ticket)
        std::abort();
    return *ticket;
}

void run(TicketLedger& ledger, const Ticket& ticket, RandomEngine& random, std::size_t bytes)
{
    if (!std::holds_alternative<RunTicket>(ledger.begin(ticket, 7, { TimePoint(), random })))
        std::abort();
    ledger.finish(ticket, answerOf(bytes));
}

void printMemory()
{
    SlopeFit issued("memory of tickets that wait for their request", "bytes", "tickets");
    for (const int tickets : { 1000, 2000, 4000, 8000 }) {
        RandomEngine random(1);
        auto ledger = makeLedger();
        const double before = allocatedBytes();
        for (int n = 0; n < tickets; ++n)
            issue(ledger, random);
        issued.add(tickets, allocatedBytes() - before);
    }
    issued.print();
    SlopeFit answered("memory of a ticket whose answer is kept", "bytes", "bytes of the answer's body");
    SlopeFit charged("charged for it", "bytes", "bytes of the answer's body");
    for (const std::size_t bytes : { 64, 512, 2048, 7168 }) {
        constexpr int tickets = 4000;
        RandomEngine random(1);
        auto ledger = makeLedger();
        const double before = allocatedBytes();
        for (int n = 0; n < tickets; ++n)
            run(ledger, issue(ledger, random), random, bytes);
        answered.add(static_cast<double>(bytes), (allocatedBytes() - before) / tickets);
        charged.add(static_cast<double>(bytes), static_cast<double>(ledger.memoryUsed().count()) / tickets);
    }
    answered.print();
    charged.print();
}

void printTime()
{
    SlopeFit cycle("issue, begin and finish with an answer of 512 bytes", "us", "tickets held");
    SlopeFit replay("repeat answered with it", "us", "tickets held");
    for (const int tickets : { 1000, 4000, 16'000, 64'000 }) {
        RandomEngine random(1);
        auto ledger = makeLedger();
        std::vector<Ticket> held;
        for (int n = 0; n < tickets; ++n) {
            held.push_back(issue(ledger, random));
            run(ledger, held.back(), random, 512);
        }
        cycle.add(tickets, microsecondsPerCall(50, [&](int) { run(ledger, issue(ledger, random), random, 512); }));
        replay.add(tickets, microsecondsPerCall(500, [&](int n) {
            const auto index = static_cast<std::size_t>(n) * 7919 % held.size();
            if (!std::holds_alternative<ReplayAnswer>(ledger.begin(held[index], 7, { TimePoint(), random })))
                std::abort();
        }));
    }
    cycle.print();
    replay.print();
}

} // namespace

int main()
{
    printMemory();
    printTime();
    return 0;
}
