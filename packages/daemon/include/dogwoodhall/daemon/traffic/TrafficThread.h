#pragma once

#include "dogwoodhall/budget/PingBudget.h"
#include "dogwoodhall/daemon/homes/RequestRunner.h"
#include "dogwoodhall/daemon/homes/TicketService.h"
#include "dogwoodhall/daemon/homes/TrafficServices.h"
#include "dogwoodhall/daemon/traffic/DispatchRunner.h"
#include "dogwoodhall/daemon/traffic/RequestPath.h"
#include "dogwoodhall/exchange/Acceptor.h"
#include "dogwoodhall/fleet/PauseDetector.h"
#include "dogwoodhall/http/CallerSessions.h"
#include "dogwoodhall/peer/PeerServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <thread>

namespace dogwoodhall {

// One traffic thread: its event loop, caller connections, peer streams, requests, upstream connections and share of the
// pools. Other threads may call only start(), post(), join() and requestsRunning().
class TrafficThread {
public:
    // Obtains the reply to a peer's gossip request from the control thread. Returns the same as GossipDriver::answer().
    using AnswerGossip
        = std::function<asio::awaitable<tl::expected<std::optional<std::string>, std::string>>(std::string)>;

    struct Options {
        std::uint32_t index = 0;
        MemberId member;
        DataCentreId dataCentre;
        NetworkAddress callerAddress;
        NetworkAddress peerAddress;
        CallerLimits callerLimits;
        CallerShares callerShares; // Of this thread.
        PeerLimits peerLimits;
        Fraction traceSampling;
        std::uint64_t seed = 0;
        PostToShard postToShard;
        SpanSink spans;
        std::function<void(const MemberId&)> reportSilentMember;
        std::function<void()> reportPause;
        AnswerGossip answerGossip;
        // Sends the load of this thread's pools to the control thread and the other traffic threads.
        std::function<void(std::vector<PoolLoadSummary>)> shareLoads;
        std::uint32_t trafficThreads = 1;
        CallCount pingsPerSecond; // This thread's share of the measuring budget.
        // Set if endpoints register themselves: requests are then placed by recent load reports, without pool homes.
        std::optional<DispatchRunner::Options> dispatch;
        Duration drainGrace = std::chrono::milliseconds(1000); // Until the caller port closes; see drain().
    };

    // The metrics and the event log must outlive this object.
    TrafficThread(Options, DaemonMetrics&, EventLog&);
    ~TrafficThread();

    struct BoundAddresses {
        NetworkAddress caller;
        NetworkAddress peer;
    };
    // Binds the caller and peer ports. Returns the bound addresses; a port of 0 is replaced by the kernel's choice.
    BoundAddresses listen();
    // Sets the process-wide ticket ledger. Must be called before start().
    void setTicketLedger(SharedTicketLedger& ledger) { m_tickets.setSharedLedger(ledger); }
    void start();
    void join();

    void post(std::function<void(TrafficThread&)>);
    std::size_t requestsRunning() const { return m_requestsRunning.load(std::memory_order_relaxed); }
    asio::io_context& io() { return m_io; }

    void apply(SnapshotPointer);
    // How long the snapshot applied last may be used.
    void renewLease(const LeaseTerm&);
    void observeLoads(const std::vector<PoolLoadSummary>&);
    void apply(const EndpointWithdrawal&);

    // Closes each caller connection after its next response. After a grace period, in which the platform's load
    // balancer notices that the readiness check fails, stops accepting connections, closes idle ones, and calls `done`
    // when the last request has been answered. With a schedule, requests that cannot be answered in time are refused.
    void drain(const std::optional<StopSchedule>&, std::function<void()> done);
    // Answers the requests in flight that have no response yet. Calls `done` after `writeTime` of this thread, in which
    // the responses are written.
    void endRequests(Duration writeTime, std::function<void()> done);
    // Aborts all requests in flight.
    void stop();

    PoolShard& shard() { return m_shard; }
    const RequestPath& path() const { return m_path; }

private:
    asio::awaitable<void> runPeriodicTasks();
    asio::awaitable<void> finishDrain();
    asio::awaitable<void> handleCaller(IncomingRequest, ResponseWriter);
    asio::awaitable<void> handlePeer(IncomingRequest, ResponseWriter);
    asio::awaitable<void> handleGossip(IncomingRequest, ResponseWriter);
    RequestPath makeHomeRequestPath();
    void checkForPause();
    bool spendPingBudget(bool isRepeated);
    // Whether the limits of callers are certain at the first byte of a request; see RetryIfUncertain.
    std::optional<Duration> retryIfUncertain();
    // A request that the handler never got.
    void handleRejected(ErrorKind, std::string_view detail);
    void handleCallerClosed(CallerCloseReason);
    void handleSilenceChange(const NetworkAddress&, SilenceChange);
    void checkDrained();

    Options m_options;
    DaemonMetrics& m_metrics;
    EventLog& m_events;
    asio::io_context m_io { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    Acceptor m_acceptor;
    RandomEngine m_random;
    PoolShard m_shard;
    SlotGateway m_slots;
    ConnectionQuotas m_connections;
    UpstreamClient m_upstreams;
    PeerClient m_peers;
    PingBudget m_pingBudget;
    TrafficServices m_services;
    RequestRunner m_runner;
    std::optional<DispatchRunner> m_dispatch;
    RequestPath m_path;
    TicketService m_tickets;
    SnapshotPointer m_snapshot;
    PauseDetector m_pauseDetector;
    CallerSessions m_sessions;
    PeerServer m_peerServer;
    bool m_peersDrained = false;
    std::function<void()> m_drainDone;
    asio::steady_timer m_endRequestsTimer;
    std::atomic<std::size_t> m_requestsRunning { 0 };
    std::thread m_thread;
};

} // namespace dogwoodhall
