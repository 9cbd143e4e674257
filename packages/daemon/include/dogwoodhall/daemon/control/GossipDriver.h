#pragma once

#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/exchange/Exchange.h"
#include "dogwoodhall/fleet/Fleet.h"
#include "dogwoodhall/peer/PeerClient.h"
#include "dogwoodhall/wire/RecordCompressor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

namespace dogwoodhall {

// Request target of a gossip exchange on a peer stream.
inline constexpr std::string_view gossipTarget = "/control";
// Status of a response without a reply, sent when the sender's measuring budget is exhausted. It takes less than 100
// bytes, which are not charged to any budget, for each request that was paid for by the peer's budget.
inline constexpr unsigned budgetSpentStatus = 429;

// Performs the fleet's gossip exchanges over peer streams, on the control thread.
class GossipDriver {
public:
    struct Hooks {
        std::function<void()> membersChanged;
        std::function<void(const OfferRecords&)> offerRecords;
        std::function<void(const std::vector<PoolLoadSummary>&)> observeLoads;
        std::function<void(Duration gap)> stateExpired;
        // Charges a message to the measuring budget before it is sent. Returns false if the budget is exhausted.
        std::function<bool(const GossipMessage&, ByteCount encoded)> chargeBudget;
        // Called when a peer's reply to a request that this member sent at this time arrives.
        std::function<void(const GossipMessage&, TimePoint sentAt)> peerAnswered;
        // The time since this member's records were known to be complete, for replies.
        std::function<std::optional<Duration>()> confirmedAge;
        // Called once per gossip period.
        std::function<void()> periodElapsed;
        // The era of the revisions of members that name none.
        std::function<Era()> firstEra;
    };

    GossipDriver(asio::io_context&, Member self, Fleet::Hooks, FleetLimits, Hooks, DaemonMetrics&);

    // Runs the periodic gossip until the event loop ends.
    asio::awaitable<void> run();

    // Returns the reply to a peer's request, or the reason why the request is malformed. The reply is empty if the
    // measuring budget is exhausted.
    tl::expected<std::optional<std::string>, std::string> answer(std::string_view request);

    void reportSilent(const MemberId&);
    // Checks for a pause of the process and handles it if there was one.
    void checkPause();
    void perform(std::vector<FleetAction>);

    Fleet& fleet() { return m_fleet; }
    const Fleet& fleet() const { return m_fleet; }

private:
    asio::awaitable<void> exchange(Exchange);
    // Encodes the message, without its records after a call of `recordsNotSent` if only the budget for these is
    // exhausted. Empty if the measuring budget is exhausted.
    std::optional<std::string> encodeWithinBudget(
        GossipMessage, const MemberId& peer, const std::function<void()>& recordsNotSent);
    // Returns the reply; empty if the peer's measuring budget is exhausted.
    ExchangeResult<std::optional<std::string>> send(const NetworkAddress&, std::string message);

    asio::io_context& m_io;
    Hooks m_hooks;
    Duration m_period;
    DaemonMetrics& m_metrics;
    PeerClient m_peers;
    Fleet m_fleet;
    RecordCompressor m_compressor;
    RandomEngine m_random;
};

} // namespace dogwoodhall
