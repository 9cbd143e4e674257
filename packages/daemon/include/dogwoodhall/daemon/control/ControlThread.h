#pragma once

#include "dogwoodhall/budget/MeasuringBudget.h"
#include "dogwoodhall/budget/PublicationPacer.h"
#include "dogwoodhall/budget/TokenBucket.h"
#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/configuration/ConfigurationLease.h"
#include "dogwoodhall/configuration/JoinBarrier.h"
#include "dogwoodhall/configuration/LapsedEndpoints.h"
#include "dogwoodhall/configuration/RecordTransfer.h"
#include "dogwoodhall/configuration/StoreRestoration.h"
#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/PlatformAdapter.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/control/AllowedRegionsLog.h"
#include "dogwoodhall/daemon/control/GossipDriver.h"
#include "dogwoodhall/daemon/control/HealthProber.h"
#include "dogwoodhall/daemon/control/OperatorServer.h"
#include "dogwoodhall/daemon/control/PlatformWatcher.h"
#include "dogwoodhall/daemon/control/SnapshotBuilder.h"
#include "dogwoodhall/daemon/control/SpanExporter.h"
#include "dogwoodhall/daemon/control/StatusReport.h"
#include "dogwoodhall/declarations/Settings.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace dogwoodhall {

// The control thread's state: the configuration in force, the fleet, the host list and the admin port. Publishes
// snapshots. Runs on the thread that calls run(); other threads post to io().
class ControlThread {
public:
    struct Hooks {
        std::function<void(SnapshotPointer)> publish;
        // How long the records published last may be used.
        std::function<void(const LeaseTerm&)> renewLease;
        std::function<void()> beginDrain; // Starts the graceful stop.
        std::function<void()> stopNow; // Forces the stop.
        std::function<std::string()> metricsText;
        std::function<std::size_t()> requestsRunning;
        std::function<void(const ProbeTarget&, const HealthReport&)> reportHealth; // Notifies the pool's thread.
        std::function<void(const std::vector<PoolLoadSummary>&)> observeLoads; // Notifies all traffic threads.
        std::function<void(EventLine)> log;
        OperatorServer::Explain explain; // Empty if the process cannot say where a request would go.
    };

    ControlThread(const Settings&, Incarnation, const PlatformAdapter&, DaemonMetrics&, Hooks);
    ~ControlThread();

    // Binds the admin port.
    NetworkAddress listen();
    // Starts gossip and the platform watch. Called once the peer port is bound.
    void start(const NetworkAddress& peerAddress);
    void run();
    void stop() { m_io.stop(); }

    asio::io_context& io() { return m_io; }
    void setDraining();
    void addSpan(Span span) { m_spans.add(std::move(span)); }
    // Records the loads of this process's pools, for gossip.
    void setOwnLoads(const std::vector<PoolLoadSummary>&);
    // Called when a traffic thread detected a pause of the process. That thread waits for a snapshot from after the
    // pause.
    void reportPause() { requestPublication(PublicationReason::Readiness); }
    void reportSilentMember(const MemberId& member) { m_gossip->reportSilent(member); }
    // Handles a peer's gossip request. Returns the same as GossipDriver::answer().
    tl::expected<std::optional<std::string>, std::string> answerGossip(std::string_view request);

private:
    void acceptBatch(RecordBatch);
    // Leaves only what a complete read changes, and adds the deletions that follow from it.
    void reduceToChanges(RecordBatch&);
    void observeEra(Era);
    void acceptFromPeer(const OfferRecords&);
    void acceptRecords(const std::vector<Record>&);
    // Accepts the records and forwards new ones within the own data centre. Returns true if there were new ones.
    bool acceptAndForward(const std::vector<Record>&);
    void recordsUnreachable();
    void handlePeerAnswer(const GossipMessage& reply, TimePoint sentAt);
    void confirmRecords(TimePoint at);
    bool needsConfirmation() const;
    void renewLease();
    bool mayDeny() const;
    Era storeEra() const;
    std::optional<Duration> confirmedAge() const;
    void trackLapsedEndpoints(const std::vector<Record>&);
    void armLapseTimer();
    void applySeeds();
    void acceptHosts(const HostList&);
    bool updateReadiness();
    Duration drawFirstReadDelay();
    void requestPublication(PublicationReason);
    void perform(const std::optional<PublicationAction>&);
    void publish();
    void logRoutes(const Directory* before, const Directory& after);
    bool isWatcher() const;
    bool isLargeFleet() const;
    StatusReport statusReport() const;
    std::vector<ProbeTarget> probeTargets() const;
    std::vector<PoolLoadSummary> ownLoads(std::size_t most);
    // Records that a member with another digest may lack although its highest revision is the same.
    std::vector<Record> recordsForRepair(ByteCount limit);
    bool chargeBudget(MeasuringCategory, ByteCount);
    bool chargeGossip(const GossipMessage&, ByteCount encoded);

    Settings m_settings;
    Incarnation m_incarnation;
    DaemonMetrics& m_metrics;
    Hooks m_hooks;
    asio::io_context m_io { 1 };
    ConfigurationInForce m_configuration;
    RecordKey m_lastRejectedKey; // Where the next recordsForRepair() resumes.
    HostList m_hosts;
    SnapshotBuilder m_builder;
    FleetCensus m_census;
    AllowedRegionsLog m_allowedRegionsLog;
    PublicationPacer m_pacer;
    asio::steady_timer m_publicationTimer { m_io };
    SnapshotPointer m_published; // Null until the first publication.
    RandomEngine m_random { std::random_device {}() };
    RecordSource m_source;
    JoinBarrier m_joinBarrier;
    RecordTransfer m_transfer;
    ConfigurationLease m_lease;
    LeaseTerm m_publishedTerm; // Given to the traffic threads.
    LapsedEndpoints m_lapsed;
    StoreRestoration m_restoration;
    asio::steady_timer m_restorationTimer { m_io };
    TimePoint m_lastPeerAnswer; // When this member sent the last request that a peer has answered.
    TimePoint m_lastRead; // Time of this member's own last read of the records.
    asio::steady_timer m_lapseTimer { m_io };
    MeasuringBudget m_budget;
    TokenBucket<ByteCount> m_recordBudget; // Budget for records sent to peers.
    struct OwnLoad {
        PoolLoadSummary load;
        TimePoint measuredAt;
    };
    std::map<PoolId, OwnLoad> m_ownLoads;
    PoolId m_lastSentLoad; // The last pool whose load was sent in a message.
    std::unique_ptr<GossipDriver> m_gossip; // Null until start().
    PlatformWatcher m_platform;
    OperatorServer m_operators;
    SpanExporter m_spans;
    HealthProber m_prober;
    bool m_isReady = false;
    bool m_isDraining = false;
};

} // namespace dogwoodhall
