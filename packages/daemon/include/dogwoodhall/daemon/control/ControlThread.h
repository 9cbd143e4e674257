#pragma once

#include "dogwoodhall/budget/MeasuringBudget.h"
#include "dogwoodhall/budget/PublicationPacer.h"
#include "dogwoodhall/budget/TokenBucket.h"
#include "dogwoodhall/configuration/ConfigurationInForce.h"
#include "dogwoodhall/configuration/JoinBarrier.h"
#include "dogwoodhall/configuration/LapsedEndpoints.h"
#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/PlatformAdapter.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/daemon/control/GossipDriver.h"
#include "dogwoodhall/daemon/control/HealthProber.h"
#include "dogwoodhall/daemon/control/OperatorServer.h"
#include "dogwoodhall/daemon/control/PlatformWatcher.h"
#include "dogwoodhall/daemon/control/SnapshotBuilder.h"
#include "dogwoodhall/daemon/control/SpanExporter.h"
#include "dogwoodhall/daemon/control/StatusReport.h"
#include "dogwoodhall/declarations/Settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace dogwoodhall {

// The control thread's state: the configuration in force, the fleet, the host list and the operators' port. Publishes
// snapshots. Runs on the thread that calls run(); io() is for posting to it.
class ControlThread {
public:
    struct Hooks {
        std::function<void(SnapshotPointer)> publish;
        std::function<void()> beginDrain; // Start the graceful stop.
        std::function<void()> stopNow; // The forced stop.
        std::function<std::string()> metricsText;
        std::function<std::size_t()> requestsRunning;
        std::function<void(const ProbeTarget&, const HealthReport&)> reportHealth; // To the pool's thread.
        std::function<void(const std::vector<PoolLoadSummary>&)> observeLoads; // To all traffic threads.
    };

    ControlThread(const Settings&, Incarnation, const PlatformAdapter&, DaemonMetrics&, Hooks);
    ~ControlThread();

    // Binds the operators' port.
    NetworkAddress listen();
    // Starts gossip and the platform watch, once the peer port is bound.
    void start(const NetworkAddress& peerAddress);
    void run() { m_io.run(); }
    void stop() { m_io.stop(); }

    asio::io_context& io() { return m_io; }
    void setDraining();
    void addSpan(Span span) { m_spans.add(std::move(span)); }
    // Load of pools of this process, for gossip.
    void setOwnLoads(const std::vector<PoolLoadSummary>&);
    // A traffic thread noticed a pause of the process; it waits for a snapshot from after the pause.
    void reportPause() { noteChange(PublicationReason::Standing); }
    void reportSilentMember(const MemberId& member) { m_gossip->reportSilent(member); }
    // A peer's gossip request, and the reply to it.
    tl::expected<std::optional<std::string>, std::string> answerGossip(std::string_view request);

private:
    void acceptBatch(RecordBatch);
    void acceptFromPeer(const MemberId& sender, const std::vector<Record>&);
    void acceptRecords(const std::vector<Record>&);
    // Passes on to the own data centre what was news. False where nothing was.
    bool acceptAndSpread(const std::vector<Record>&);
    void recordsLost();
    void keepLapsed(const std::vector<Record>&);
    void armLapseTimer();
    void applySeeds();
    void acceptHosts(const HostList&);
    bool updateReadiness();
    Duration drawFirstReadDelay();
    void noteChange(PublicationReason);
    void perform(const std::optional<PublicationAction>&);
    void publish();
    bool isWatcher() const;
    bool isLargeFleet() const;
    StatusReport statusReport() const;
    std::vector<ProbeTarget> probeTargets() const;
    std::vector<PoolLoadSummary> ownLoads(std::size_t most);
    std::vector<Record> recordsUnderRejections(ByteCount limit);
    bool pay(MeasuringCategory, ByteCount);
    bool payGossip(const GossipMessage&, ByteCount encoded);

    Settings m_settings;
    Incarnation m_incarnation;
    DaemonMetrics& m_metrics;
    Hooks m_hooks;
    asio::io_context m_io { 1 };
    ConfigurationInForce m_configuration;
    RecordKey m_lastUnderRejection; // Where the last message's records of this kind ended.
    HostList m_hosts;
    SnapshotBuilder m_builder;
    PublicationPacer m_pacer;
    asio::steady_timer m_publicationTimer { m_io };
    SnapshotPointer m_published; // Null until the first publication.
    RandomEngine m_random { std::random_device {}() };
    RecordSource m_source;
    JoinBarrier m_joinBarrier;
    LapsedEndpoints m_lapsed;
    TimePoint m_lastRead; // Of the records, by this member itself.
    asio::steady_timer m_lapseTimer { m_io };
    MeasuringBudget m_budget;
    TokenBucket<ByteCount> m_recordBytes; // For records sent to peers.
    struct OwnLoad {
        PoolLoadSummary load;
        TimePoint measuredAt;
    };
    std::map<PoolId, OwnLoad> m_ownLoads;
    PoolId m_lastSentLoad; // Where the last message's loads ended.
    std::unique_ptr<GossipDriver> m_gossip; // From start() on.
    PlatformWatcher m_platform;
    OperatorServer m_operators;
    SpanExporter m_spans;
    HealthProber m_prober;
    bool m_isReady = false;
    bool m_isDraining = false;
};

} // namespace dogwoodhall
