#pragma once

#include "dogwoodhall/daemon/homes/BufferedAnswer.h"
#include "dogwoodhall/daemon/homes/RequestRunner.h"
#include "dogwoodhall/request/TicketLedger.h"

#include <memory>
#include <unordered_map>

namespace dogwoodhall {

// The process-wide ticket ledger and the event loop of the thread that owns it. Other threads access the ledger by
// posting functions to that event loop.
struct SharedTicketLedger {
    SharedTicketLedger(asio::io_context& io, TicketLedger ledger, std::uint64_t seed)
        : io(io)
        , ledger(std::move(ledger))
        , random(seed)
    {
    }

    asio::io_context& io;
    // Accessed only on io's thread.
    TicketLedger ledger;
    RandomEngine random;
};

// Handles requests that carry a ticket: forwards them to the ticket's issuer, which runs each once and stores the
// response for repeats. One instance per traffic thread.
class TicketService {
public:
    TicketService(TrafficServices&, RequestRunner&);
    ~TicketService();

    // Must be called before the first request.
    void setSharedLedger(SharedTicketLedger& sharedLedger) { m_sharedLedger = &sharedLedger; }

    void apply(SnapshotPointer snapshot) { m_snapshot = std::move(snapshot); }

    // Handles POST /.dogwoodhall/tickets.
    asio::awaitable<void> issue(const ResponseWriter&);
    // Handles a request with a ticket from a caller or another member.
    asio::awaitable<void> run(IncomingRequest, const ResponseWriter&, bool isFromMember);

    // Number of requests in progress, including those whose caller has disconnected.
    std::size_t running() const { return m_runs.size(); }
    // Sets a hook that is called each time a run ends.
    void setRunEnded(std::function<void()> hook) { m_runEnded = std::move(hook); }

private:
    // A ticket's request in progress and its response. Kept until the response is in the ledger and the caller that
    // started the run no longer waits for it.
    struct Run;

    asio::awaitable<void> runAsIssuer(const Ticket&, IncomingRequest, const ResponseWriter&);
    // Whether the allowed regions of the request's service let this member send it to the issuer.
    bool mayForward(const RequestHead&, const PoolHome& issuer) const;
    asio::awaitable<void> forwardToIssuer(const Ticket&, IncomingRequest, const ResponseWriter&);
    asio::awaitable<void> execute(RequestId, Ticket, IncomingRequest);
    asio::awaitable<void> record(const Ticket&, const BufferedAnswer&);
    asio::awaitable<void> refuse(const ResponseWriter&, ErrorKind, Outcome);
    void release(RequestId);

    TrafficServices& m_services;
    RequestRunner& m_runner;
    SharedTicketLedger* m_sharedLedger = nullptr;
    SnapshotPointer m_snapshot;
    std::unordered_map<RequestId, std::unique_ptr<Run>> m_runs;
    std::uint64_t m_nextRun = 1;
    std::function<void()> m_runEnded;
};

} // namespace dogwoodhall
