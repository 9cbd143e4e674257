#include "dogwoodhall/daemon/control/GossipDriver.h"

#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/UseTuple.h"
#include "dogwoodhall/exchange/WholeBody.h"
#include "dogwoodhall/telemetry/Logging.h"
#include "dogwoodhall/wire/GossipCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr Duration exchangeTimeout = std::chrono::milliseconds(1500);
// For the rest of a reply after its head. Long enough that a peer sending records over a slow link is not mistaken for
// an unresponsive one.
constexpr auto replyTimeout = std::chrono::seconds(10);

tl::expected<GossipMessage, std::string> decodeReply(
    const tl::expected<std::optional<std::string>, ExchangeError>& reply, Era firstEra)
{
    if (!reply)
        return tl::unexpected(reply.error().detail);
    return decode(**reply, firstEra);
}

ExchangeError unexpectedStatus() { return { ErrorKind::PeerFailed, false, "unexpected status" }; }

template <typename... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};

// clang 14 requires this deduction guide; g++ does not.
template <typename... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

GossipDriver::GossipDriver(
    asio::io_context& io, Member self, Fleet::Hooks fleetHooks, FleetLimits limits, Hooks hooks, DaemonMetrics& metrics)
    : m_io(io)
    , m_hooks(std::move(hooks))
    , m_period(limits.gossipPeriod)
    , m_metrics(metrics)
    , m_peers(io.get_executor(), PeerLimits {})
    , m_fleet(std::move(self), std::move(fleetHooks), limits)
    , m_random(std::random_device {}())
{
}

asio::awaitable<void> GossipDriver::run()
{
    const auto period = std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_period);
    asio::steady_timer timer(m_io);
    while (true) {
        perform(m_fleet.tick({ monotonicNow(), m_random }));
        m_hooks.periodElapsed();
        m_metrics.membersAlive.set(m_fleet.countInState(MemberState::Alive));
        timer.expires_after(period);
        co_await timer.async_wait(useTuple);
    }
}

void GossipDriver::perform(std::vector<FleetAction> actions)
{
    for (auto& action : actions) {
        std::visit(Overloaded {
                       [&](Exchange& request) { asio::co_spawn(m_io, exchange(request), rethrowToLoop); },
                       [&](OfferRecords& offer) { m_hooks.offerRecords(offer); },
                       [&](ObservePoolLoads& observed) { m_hooks.observeLoads(observed.loads); },
                       [&](MembersChanged&) { m_hooks.membersChanged(); },
                       [&](StateExpired& expired) { m_hooks.stateExpired(expired.gap); },
                   },
            action);
    }
}

asio::awaitable<void> GossipDriver::exchange(Exchange request)
{
    auto unsent = m_fleet.messageFor(request.member, monotonicNow());
    auto message
        = encodeWithinBudget(std::move(unsent), request.member, [&] { m_fleet.recordsNotSent(request.member); });
    if (!message) {
        m_fleet.exchangeNotSent(request.member);
        co_return;
    }
    m_metrics.gossipExchanges.add();
    const TimePoint sentAt = monotonicNow();
    auto reply = co_await send(request.address, std::move(*message));
    const bool isRefused = reply && !*reply;
    if (isRefused) {
        m_fleet.exchangeRefused(request.member, monotonicNow());
        co_return;
    }
    auto decoded = decodeReply(reply, m_hooks.firstEra());
    if (!decoded) {
        m_metrics.gossipFailures.add();
        DOGWOODHALL_LOG(fleet, debug) << "No reply from " << request.member << ": " << decoded.error() << ".";
        perform(m_fleet.exchangeFailed(request.member, monotonicNow()));
        co_return;
    }
    perform(m_fleet.handle(*decoded, monotonicNow()).actions);
    m_hooks.peerAnswered(*decoded, sentAt);
}

ExchangeResult<std::optional<std::string>> GossipDriver::send(const NetworkAddress& address, std::string message)
{
    OutgoingRequest request;
    request.head.method = "POST";
    request.head.target = std::string(gossipTarget);
    request.head.bodyLength = { BodyLength::Kind::Exact, ByteCount(message.size()) };
    request.readBody = stringBody(std::move(message));
    const auto deadline = toSteadyClock(monotonicNow() + exchangeTimeout);
    auto response = co_await m_peers.exchange(address, std::move(request), deadline);
    if (!response)
        co_return tl::unexpected(response.error());
    auto body = co_await readFullBody(*response, maxGossipBytes, std::chrono::steady_clock::now() + replyTimeout);
    if (!body)
        co_return tl::unexpected(body.error());
    if (response->head.status == budgetSpentStatus)
        co_return std::nullopt;
    if (response->head.status != 200)
        co_return tl::unexpected(unexpectedStatus());
    co_return std::move(*body);
}

tl::expected<std::optional<std::string>, std::string> GossipDriver::answer(std::string_view request)
{
    auto message = decode(request, m_hooks.firstEra());
    if (!message)
        return tl::unexpected(message.error());
    auto handled = m_fleet.handle(*message, monotonicNow());
    perform(std::move(handled.actions));
    if (!handled.reply)
        return tl::unexpected(std::string("expected a request but received a reply"));
    m_fleet.updateDigest(*handled.reply);
    handled.reply->confirmedAge = m_hooks.confirmedAge();
    return encodeWithinBudget(std::move(*handled.reply), message->sender.id, [] {});
}

// If only the budget for records is exhausted, sends the message without them, so that this member is not mistaken for
// an unresponsive one.
std::optional<std::string> GossipDriver::encodeWithinBudget(
    GossipMessage message, const MemberId& peer, const std::function<void()>& recordsNotSent)
{
    std::string text = encode(message, m_compressor);
    const ByteCount size(text.size());
    if (m_hooks.chargeBudget(message, size)) {
        const auto sizes = sizesByContent(message, size);
        for (std::size_t n = 0; n < gossipContentCount; ++n)
            m_metrics.gossipSent(static_cast<GossipContent>(n), m_fleet.distanceTo(peer)).add(sizes[n].count());
        return text;
    }
    if (message.records.empty())
        return std::nullopt;
    message.records.clear();
    message.recordsAfter.reset();
    message.relayTo.clear();
    recordsNotSent();
    return encodeWithinBudget(std::move(message), peer, recordsNotSent);
}

void GossipDriver::checkPause() { perform(m_fleet.checkPause(monotonicNow())); }

void GossipDriver::reportSilent(const MemberId& member) { perform(m_fleet.exchangeFailed(member, monotonicNow())); }

} // namespace dogwoodhall
