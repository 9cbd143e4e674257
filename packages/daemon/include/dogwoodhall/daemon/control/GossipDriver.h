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
// Of an answer without a reply, as the measuring budget of its sender is spent. It costs less than 100 bytes, which no
// budget is charged with, for each request that the peer's budget paid for.
inline constexpr unsigned budgetSpentStatus = 429;

// Carries the fleet's exchanges over peer streams, on the control thread.
class GossipDriver {
public:
    struct Hooks {
        std::function<void()> membersChanged;
        std::function<void(const MemberId& sender, const std::vector<Record>&)> offerRecords;
        std::function<void(const std::vector<PoolLoadSummary>&)> observeLoads;
        std::function<void(Duration gap)> stateExpired;
        // Pays for a message before it is sent; false where the measuring budget is spent.
        std::function<bool(const GossipMessage&, ByteCount encoded)> pay;
        // A peer's answer to this member's own request arrived.
        std::function<void(const GossipMessage&)> peerAnswered;
        // Called once in each period.
        std::function<void()> ticked;
    };

    GossipDriver(asio::io_context&, Member self, Fleet::Hooks, FleetLimits, Hooks, DaemonMetrics&);

    // Ticks until the event loop ends.
    asio::awaitable<void> run();

    // The reply to a peer's request, or the reason why it is malformed. Empty where the measuring budget is spent.
    tl::expected<std::optional<std::string>, std::string> answer(std::string_view request);

    void reportSilent(const MemberId&);
    // Acts on a pause of the process, where there was one.
    void checkPause();
    void perform(std::vector<FleetAction>);

    Fleet& fleet() { return m_fleet; }
    const Fleet& fleet() const { return m_fleet; }

private:
    asio::awaitable<void> exchange(Exchange);
    // The encoded message; empty where the measuring budget is spent.
    std::optional<std::string> payFor(GossipMessage);
    // The reply; empty where the peer's measuring budget is spent.
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
