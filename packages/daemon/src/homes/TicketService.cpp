#include "dogwoodhall/daemon/homes/TicketService.h"

#include "dogwoodhall/daemon/CallOn.h"
#include "dogwoodhall/daemon/traffic/AnswerRelay.h"
#include "dogwoodhall/daemon/traffic/HeaderValues.h"
#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/UseTuple.h"
#include "dogwoodhall/exchange/WholeBody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

// The request and its response are buffered so that the request can continue after its caller disconnects.
constexpr ByteCount maxTicketRequest { 64 * 1024 };
constexpr ByteCount maxTicketAnswer { 1024 * 1024 };
constexpr Duration forwardTimeout = std::chrono::seconds(60);

// Runs the function on the ledger's thread and returns its result on this one. A function that captures strings must be
// a named variable: g++ 12 copies a temporary lambda in a co_await expression bytewise and destroys it twice.
template <typename Result>
asio::awaitable<Result> onLedgerThread(
    SharedTicketLedger& sharedLedger, std::function<Result(TicketLedger&, DecisionContext)> function)
{
    return callOn<Result>(sharedLedger.io, [&sharedLedger, function = std::move(function)] {
        return function(sharedLedger.ledger, DecisionContext { monotonicNow(), sharedLedger.random });
    });
}

std::uint64_t fingerprintOf(const RequestHead& head, std::string_view body)
{
    return stableHash(body, stableHash(head.target, stableHash(head.method)));
}

std::string ticketJson(const Ticket& ticket) { return "{\"ticket\":\"" + toString(ticket) + "\"}\n"; }

} // namespace

struct TicketService::Run {
    explicit Run(asio::io_context& io)
        : answer(maxTicketAnswer)
        , ended(io, asio::steady_timer::time_point::max())
    {
    }

    BufferedAnswer answer;
    asio::steady_timer ended; // Cancelled when the run has ended.
    bool hasEnded = false;
    bool isAwaited = true; // The caller that started the run is still waiting.
};

TicketService::TicketService(TrafficServices& services, RequestRunner& runner)
    : m_services(services)
    , m_runner(runner)
    , m_snapshot(std::make_shared<Snapshot>())
{
}

TicketService::~TicketService() = default;

asio::awaitable<void> TicketService::issue(const ResponseWriter& writer)
{
    using Issued = tl::expected<Ticket, ErrorKind>;
    auto ticket = co_await onLedgerThread<Issued>(
        *m_sharedLedger, [](TicketLedger& ledger, DecisionContext context) { return ledger.issue(context); });
    if (!ticket)
        co_return co_await refuse(writer, ticket.error(), Outcome::NotRun);
    m_services.metrics.ticketsIssued.add();
    StoredAnswer answer;
    answer.status = 201;
    answer.fields.emplace_back("Content-Type", "application/json");
    answer.body = ticketJson(*ticket);
    co_await writeStored(writer, answer);
}

asio::awaitable<void> TicketService::run(IncomingRequest request, const ResponseWriter& writer, bool isFromMember)
{
    const auto ticket = parseTicket(request.head.fields.find(fields::ticket).value_or(""));
    if (!ticket)
        co_return co_await refuse(writer, ErrorKind::BadRequest, Outcome::NotRun);
    // Work under a ticket is not idempotent in general.
    const bool isTurn = co_await request.progress.awaitTurn();
    if (!isTurn)
        co_return;
    if (ticket->issuer == m_services.member)
        co_await runAsIssuer(*ticket, std::move(request), writer);
    else if (isFromMember)
        co_await refuse(writer, ErrorKind::TicketUnknown, Outcome::Unknown);
    else
        co_await forwardToIssuer(*ticket, std::move(request), writer);
}

asio::awaitable<void> TicketService::runAsIssuer(
    const Ticket& ticket, IncomingRequest request, const ResponseWriter& writer)
{
    auto body = co_await readFullBody(request.readBody, maxTicketRequest);
    if (!body)
        co_return co_await refuse(writer, body.error().kind, Outcome::Unknown);
    const auto fingerprint = fingerprintOf(request.head, *body);
    const auto begin = [ticket, fingerprint](TicketLedger& ledger, DecisionContext context) {
        return ledger.begin(ticket, fingerprint, context);
    };
    auto decision = co_await onLedgerThread<TicketDecision>(*m_sharedLedger, begin);
    if (const auto* rejected = std::get_if<RejectTicket>(&decision))
        co_return co_await refuse(writer, rejected->kind, answerFor(rejected->kind).outcome.value_or(Outcome::Unknown));
    if (const auto* replay = std::get_if<ReplayAnswer>(&decision)) {
        m_services.metrics.ticketReplays.add();
        co_return co_await writeStored(writer, replay->answer);
    }
    request.readBody = stringBody(std::move(*body));
    request.head.fields.remove(fields::ticket);
    const RequestId id(m_nextRun++);
    Run& run = *m_runs.emplace(id, std::make_unique<Run>(m_services.io)).first->second;
    // Spawned separately so that the request is not cancelled when the caller disconnects.
    asio::co_spawn(m_services.io, execute(id, ticket, std::move(request)), rethrowToLoop);
    struct Guard {
        TicketService& service;
        RequestId id;
        ~Guard() { service.release(id); }
    } guard { *this, id };
    if (!run.hasEnded)
        co_await run.ended.async_wait(useTuple);
    if (run.answer.complete())
        co_await writeStored(writer, *run.answer.complete());
    else
        co_await refuse(writer, ErrorKind::UpstreamTruncated, Outcome::Unknown);
}

asio::awaitable<void> TicketService::execute(RequestId id, Ticket ticket, IncomingRequest request)
{
    Run& run = *m_runs.at(id);
    const ResponseWriter writer = run.answer.writer();
    co_await m_runner.run(std::move(request), writer);
    co_await record(ticket, run.answer);
    run.hasEnded = true;
    run.ended.cancel();
    if (!run.isAwaited)
        m_runs.erase(id);
    if (m_runEnded)
        m_runEnded();
}

asio::awaitable<void> TicketService::record(const Ticket& ticket, const BufferedAnswer& answer)
{
    const auto& complete = answer.complete();
    std::optional<Outcome> outcome;
    if (complete) {
        for (const auto& [name, value] : complete->fields) {
            if (equalsIgnoringCase(name, fields::outcome))
                outcome = outcomeFromName(value);
        }
    }
    const auto finish = [ticket, complete, outcome](TicketLedger& ledger, DecisionContext) {
        if (outcome == Outcome::NotRun)
            ledger.forget(ticket);
        else if (complete && !outcome)
            ledger.finish(ticket, *complete);
        else
            ledger.finishUnknown(ticket);
        return true;
    };
    co_await onLedgerThread<bool>(*m_sharedLedger, finish);
}

void TicketService::release(RequestId id)
{
    auto it = m_runs.find(id);
    it->second->isAwaited = false;
    if (it->second->hasEnded)
        m_runs.erase(it);
}

asio::awaitable<void> TicketService::forwardToIssuer(
    const Ticket& ticket, IncomingRequest request, const ResponseWriter& writer)
{
    auto issuer = m_snapshot->members.find(ticket.issuer);
    if (issuer == m_snapshot->members.end())
        co_return co_await refuse(writer, ErrorKind::TicketUnknown, Outcome::Unknown);
    if (!mayForward(request.head, issuer->second))
        co_return co_await refuse(writer, ErrorKind::NoEndpoint, Outcome::Unknown);
    removeInternalFields(request.head.fields);
    // The issuer routes the request itself; the pool headers only have to be present.
    ForwardEnvelope envelope;
    envelope.purpose = ForwardEnvelope::Purpose::Ticket;
    envelope.pool = { ServiceId("ticket"), m_services.dataCentre };
    writeEnvelope(envelope, request.head.fields);
    const NetworkAddress address = issuer->second.peerAddress;
    OutgoingRequest forwarded { std::move(request.head), std::move(request.readBody) };
    auto response = co_await m_services.peers.exchange(
        address, std::move(forwarded), toSteadyClock(monotonicNow() + forwardTimeout));
    // Unknown even if this message was not delivered, because an earlier request with the ticket may have run.
    if (!response)
        co_return co_await refuse(writer, ErrorKind::PeerFailed, Outcome::Unknown);
    co_await relayAnswer(*response, writer, [] {});
}

bool TicketService::mayForward(const RequestHead& head, const PoolHome& issuer) const
{
    const auto route = m_snapshot->routes.find({ hostNameOf(head), pathOf(head.target), head.method });
    const auto* service = route ? m_snapshot->routes.service(route->service) : nullptr;
    return !service || m_snapshot->eligibility.mayForward(*service, m_services.dataCentre, issuer.dataCentre);
}

asio::awaitable<void> TicketService::refuse(const ResponseWriter& writer, ErrorKind kind, Outcome outcome)
{
    m_services.metrics.error(kind).add();
    co_await writeError(writer, kind, outcome);
}

} // namespace dogwoodhall
