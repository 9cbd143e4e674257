#pragma once

#include "dogwoodhall/daemon/homes/BufferedAnswer.h"
#include "dogwoodhall/daemon/homes/RequestRunner.h"
#include "dogwoodhall/request/TicketLedger.h"

#include <memory>
#include <unordered_map>

namespace dogwoodhall {

// The ledger of a process and the thread that owns it. Other threads reach it by running code there.
struct TicketDesk {
    TicketDesk(asio::io_context& io, TicketLedger ledger, std::uint64_t seed)
        : io(io)
        , ledger(std::move(ledger))
        , random(seed)
    {
    }

    asio::io_context& io;
    // Touched on io's thread only.
    TicketLedger ledger;
    RandomEngine random;
};

// Serves requests that carry a ticket: passes them to the ticket's issuer, which lets each through once and keeps the
// answer for repeats. One for each traffic thread.
class TicketService {
public:
    TicketService(TrafficServices&, RequestRunner&);
    ~TicketService();

    // To be set before the first request.
    void setDesk(TicketDesk& desk) { m_desk = &desk; }

    void apply(SnapshotPointer snapshot) { m_snapshot = std::move(snapshot); }

    // POST /.dogwoodhall/tickets
    asio::awaitable<void> issue(const ResponseWriter&);
    // A caller's or another member's request with a ticket.
    asio::awaitable<void> run(IncomingRequest, const ResponseWriter&, bool isFromMember);

    // Requests that go on although their caller may have gone.
    std::size_t running() const { return m_runs.size(); }
    // Called each time a run has ended.
    void setRunEnded(std::function<void()> hook) { m_runEnded = std::move(hook); }

private:
    // A ticket's request under way, and its answer. Lives until the answer is in the ledger and no one waits for it.
    struct Run;

    asio::awaitable<void> runAsIssuer(const Ticket&, IncomingRequest, const ResponseWriter&);
    asio::awaitable<void> forwardToIssuer(const Ticket&, IncomingRequest, const ResponseWriter&);
    asio::awaitable<void> execute(RequestId, Ticket, IncomingRequest);
    asio::awaitable<void> record(const Ticket&, const BufferedAnswer&);
    asio::awaitable<void> refuse(const ResponseWriter&, ErrorKind, Outcome);
    void release(RequestId);

    TrafficServices& m_services;
    RequestRunner& m_runner;
    TicketDesk* m_desk = nullptr;
    SnapshotPointer m_snapshot;
    std::unordered_map<RequestId, std::unique_ptr<Run>> m_runs;
    std::uint64_t m_nextRun = 1;
    std::function<void()> m_runEnded;
};

} // namespace dogwoodhall
