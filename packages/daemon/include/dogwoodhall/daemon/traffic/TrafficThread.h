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
#include <memory>
#include <thread>

namespace dogwoodhall {

// One traffic thread: its event loop, caller connections, peer streams, requests, upstream connections and share of the
// pools. start(), post(), join() and requestsRunning() are for other threads; everything else runs on this one.
class TrafficThread {
public:
    // Asks the control thread for the reply to a peer's gossip request.
    // As GossipDriver::answer().
    using AnswerGossip
        = std::function<asio::awaitable<tl::expected<std::optional<std::string>, std::string>>(std::string)>;

    struct Options {
        std::uint32_t index = 0;
        MemberId member;
        DataCentreId dataCentre;
        NetworkAddress callerAddress;
        NetworkAddress peerAddress;
        CallerLimits callerLimits;
        PeerLimits peerLimits;
        Fraction traceSampling;
        std::uint64_t seed = 0;
        PostToShard postToShard;
        SpanSink spans;
        std::function<void(const MemberId&)> reportSilentMember;
        std::function<void()> reportPause;
        AnswerGossip answerGossip;
        // Tells the control thread and the other traffic threads the load of this thread's pools.
        std::function<void(std::vector<PoolLoadSummary>)> shareLoads;
        std::uint32_t trafficThreads = 1;
        CallCount pingsPerSecond; // This thread's share of the measuring budget.
        // Present where endpoints register themselves: requests are placed by fresh load reports, without homes.
        std::optional<DispatchRunner::Options> dispatch;
        Duration drainGrace = std::chrono::milliseconds(1000); // Until the caller port closes; see drain().
    };

    // The metrics and the log must outlive the object.
    TrafficThread(Options, DaemonMetrics&, EventLog&);
    ~TrafficThread();

    struct Bound {
        NetworkAddress caller;
        NetworkAddress peer;
    };
    // Binds the caller and peer ports; gives the addresses bound, with the kernel's choice where a port was 0.
    Bound listen();
    // The process's ticket ledger; to be set before start().
    void setTicketDesk(TicketDesk& desk) { m_tickets.setDesk(desk); }
    void start();
    void join();

    void post(std::function<void(TrafficThread&)>);
    std::size_t requestsRunning() const { return m_requestsRunning.load(std::memory_order_relaxed); }
    asio::io_context& io() { return m_io; }

    void apply(SnapshotPointer);
    void observeLoads(const std::vector<PoolLoadSummary>&);

    // Ends callers' connections with their next answers. After the grace, in which the platform's balancer notices that
    // readiness is off, stops accepting, ends idle connections, and calls `done` when the last request has been
    // answered.
    void drain(std::function<void()> done);
    // Cuts off what is in flight.
    void stop();

    PoolShard& shard() { return m_shard; }

private:
    asio::awaitable<void> heartbeat();
    asio::awaitable<void> finishDrain();
    asio::awaitable<void> handleCaller(IncomingRequest, ResponseWriter);
    asio::awaitable<void> handlePeer(IncomingRequest, ResponseWriter);
    asio::awaitable<void> handleGossip(IncomingRequest, ResponseWriter);
    RequestPath pathByHomes();
    void observePauses();
    bool payForPing(bool isRepeated);
    void peerChanged(const NetworkAddress&, SilenceChange);
    void checkDrained();

    Options m_options;
    DaemonMetrics& m_metrics;
    asio::io_context m_io { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    Acceptor m_acceptor;
    RandomEngine m_random;
    PoolShard m_shard;
    SlotGateway m_slots;
    ConnectionQuotas m_connections;
    UpstreamClient m_upstreams;
    PeerClient m_peers;
    PingBudget m_pings;
    TrafficServices m_services;
    RequestRunner m_runner;
    std::optional<DispatchRunner> m_dispatch;
    RequestPath m_path;
    TicketService m_tickets;
    SnapshotPointer m_snapshot;
    PauseDetector m_pauses;
    CallerSessions m_sessions;
    PeerServer m_peerServer;
    bool m_peersDrained = false;
    std::function<void()> m_drained;
    std::atomic<std::size_t> m_requestsRunning { 0 };
    std::thread m_thread;
};

} // namespace dogwoodhall
