#include "dogwoodhall/daemon/traffic/TrafficThread.h"

#include "dogwoodhall/daemon/control/GossipDriver.h"
#include "dogwoodhall/daemon/traffic/HeaderValues.h"
#include "dogwoodhall/exchange/AsioAddress.h"
#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/UseTuple.h"
#include "dogwoodhall/exchange/WholeBody.h"
#include "dogwoodhall/telemetry/Logging.h"
#include "dogwoodhall/wire/GossipCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <stdexcept>
#include <utility>

namespace dogwoodhall {

namespace {

// Also the maximum age of the load of pools on other threads.
constexpr auto periodicTaskInterval = std::chrono::milliseconds(100);
constexpr std::string_view ticketsPath = "/.dogwoodhall/tickets";

CallerLimits withBounds(CallerLimits limits, const CallerBounds& bounds)
{
    limits.headerBytes = bounds.headerBytes;
    limits.bodyBytes = bounds.bodyBytes;
    limits.headerTimeout = bounds.headerTimeout;
    limits.idleTimeout = bounds.idleTimeout;
    return limits;
}

UpstreamLimits upstreamLimits(const ConnectionQuotas& quotas)
{
    UpstreamLimits limits;
    limits.idleLimit = [&quotas](const NetworkAddress& address) { return quotas.idleLimit(address); };
    return limits;
}

} // namespace

TrafficThread::TrafficThread(Options options, DaemonMetrics& metrics, EventLog& events)
    : m_options(std::move(options))
    , m_metrics(metrics)
    , m_events(events)
    , m_work(asio::make_work_guard(m_io))
    , m_acceptor(m_io.get_executor())
    , m_random(m_options.seed)
    , m_shard(m_io, m_options.seed + 1)
    , m_slots(m_io, m_options.index, m_options.postToShard)
    , m_connections(m_options.trafficThreads)
    , m_upstreams(m_io.get_executor(), upstreamLimits(m_connections))
    , m_peers(m_io.get_executor(), m_options.peerLimits)
    , m_pingBudget(m_options.pingsPerSecond)
    , m_services { m_io, m_slots, m_upstreams, m_connections, m_peers, metrics, m_random, m_options.spans,
        m_options.member, m_options.dataCentre, m_options.traceSampling, m_options.reportSilentMember }
    , m_runner(m_services, m_options.trafficThreads)
    , m_tickets(m_services, m_runner)
    , m_snapshot(std::make_shared<Snapshot>())
    , m_sessions(m_io.get_executor(), m_options.callerLimits, m_options.callerShares,
          [this](IncomingRequest request, ResponseWriter writer) {
              return handleCaller(std::move(request), std::move(writer));
          },
          { [this] { checkDrained(); },
              [this](ErrorKind kind, std::string_view detail) { handleRejected(kind, detail); },
              [this](CallerCloseReason reason) { handleCallerClosed(reason); }, [this] { return retryIfUncertain(); } })
    , m_peerServer(
          m_io.get_executor(), m_options.peerLimits,
          [this](IncomingRequest request, ResponseWriter writer) {
              return handlePeer(std::move(request), std::move(writer));
          },
          [this](const asio::ip::address& address) {
              return m_snapshot->acceptsAnyPeer || m_snapshot->memberIps.contains(fromAsio(address));
          })
    , m_endRequestsTimer(m_io)
{
    if (m_options.dispatch) {
        m_dispatch.emplace(m_io, *m_options.dispatch, metrics, m_random, events);
        m_path = m_dispatch->path();
    } else {
        m_path = makeHomeRequestPath();
    }
    m_peers.detectSilence({ [this](bool isRepeated) { return spendPingBudget(isRepeated); },
        [this](const NetworkAddress& peer, SilenceChange change) { handleSilenceChange(peer, change); } });
    m_tickets.setRunEnded([this] { checkDrained(); });
    m_peerServer.setLog([this](std::string_view text) {
        m_metrics.peerProtocolErrors.add();
        DOGWOODHALL_LOG(peer, warning) << text;
    });
}

TrafficThread::~TrafficThread() { join(); }

TrafficThread::BoundAddresses TrafficThread::listen()
{
    // Each traffic thread has its own listening socket on the shared port.
    auto caller = m_acceptor.listen(m_options.callerAddress, PortSharing::Shared);
    if (!caller)
        throw std::runtime_error("caller port: " + caller.error());
    auto peer = m_peerServer.listen(m_options.peerAddress);
    if (!peer)
        throw std::runtime_error("peer port: " + peer.error());
    spawnPermanent(m_io.get_executor(), [this] {
        return m_acceptor.run([this](asio::ip::tcp::socket socket) { m_sessions.serve(std::move(socket)); },
            [this] { return m_sessions.hasRoomForMore(); });
    });
    spawnPermanent(m_io.get_executor(), [this] { return runPeriodicTasks(); });
    return { *caller, *peer };
}

void TrafficThread::start()
{
    m_thread = std::thread([this] {
        runEventLoop(m_io, [this](std::string_view text) {
            m_metrics.exceptions.add();
            DOGWOODHALL_LOG(daemon, error) << "Unexpected exception in a traffic thread: " << text << ".";
        });
    });
}

void TrafficThread::join()
{
    if (m_thread.joinable())
        m_thread.join();
}

void TrafficThread::post(std::function<void(TrafficThread&)> task)
{
    asio::post(m_io, [this, task = std::move(task)] { task(*this); });
}

RequestPath TrafficThread::makeHomeRequestPath()
{
    RequestPath path;
    path.run = [this](IncomingRequest request, const ResponseWriter& writer) -> asio::awaitable<void> {
        if (request.head.method == "POST" && pathOf(request.head.target) == ticketsPath)
            return m_tickets.issue(writer);
        if (request.head.fields.find(fields::ticket))
            return m_tickets.run(std::move(request), writer, false);
        return m_runner.run(std::move(request), writer);
    };
    path.apply = [this](const SnapshotPointer& snapshot) {
        m_shard.apply(snapshot);
        m_connections.apply(snapshot);
        m_tickets.apply(snapshot);
        m_runner.apply(snapshot);
    };
    path.running = [this] { return m_runner.running(); };
    path.tick = [this] {
        m_metrics.endpointEjections.add(m_shard.reportEjections());
        m_options.shareLoads(m_shard.loads());
        m_upstreams.closeIdleConnections();
    };
    return path;
}

void TrafficThread::apply(SnapshotPointer snapshot)
{
    m_snapshot = std::move(snapshot);
    if (m_snapshot->directory)
        m_sessions.setLimits(withBounds(m_options.callerLimits, m_snapshot->directory->callers()));
    m_path.apply(m_snapshot);
}

void TrafficThread::renewLease(const LeaseTerm& term)
{
    if (m_path.renewLease)
        m_path.renewLease(term);
}

void TrafficThread::observeLoads(const std::vector<PoolLoadSummary>& loads)
{
    m_runner.loads().observe(loads, monotonicNow());
}

void TrafficThread::apply(const EndpointWithdrawal& withdrawal)
{
    if (m_dispatch)
        m_dispatch->apply(withdrawal);
}

// Also runs the pause detector while there is no traffic.
asio::awaitable<void> TrafficThread::runPeriodicTasks()
{
    asio::steady_timer timer(m_io);
    while (true) {
        checkForPause();
        m_requestsRunning.store(m_path.running(), std::memory_order_relaxed);
        m_path.tick();
        timer.expires_after(periodicTaskInterval);
        co_await timer.async_wait(useTuple);
    }
}

// After a pause of the process, the pool homes and the configuration may be older than those of the peers. No request
// is served until the control thread publishes a new snapshot. The control thread is notified because it may not itself
// have detected a pause close to the threshold.
void TrafficThread::checkForPause()
{
    if (!m_pauseDetector.observe(monotonicNow()))
        return;
    auto expired = std::make_shared<Snapshot>(*m_snapshot);
    expired->remoteHomes.clear();
    expired->isReady = false;
    m_runner.loads().clear();
    apply(std::move(expired));
    m_options.reportPause();
}

bool TrafficThread::spendPingBudget(bool isRepeated)
{
    if (m_pingBudget.trySpend(monotonicNow())) {
        m_metrics.sent(MeasuringCategory::Health).add();
        m_metrics.controlBytes.add(PingBudget::pingBytes.count());
        return true;
    }
    // A denied PING is retried at each tick but counted once.
    if (!isRepeated)
        m_metrics.denied(MeasuringCategory::Health).add();
    return false;
}

void TrafficThread::handleRejected(ErrorKind kind, std::string_view detail)
{
    m_metrics.error(kind).add();
    const auto& answer = answerFor(kind);
    EventLine line(EventKind::Failure, "rejected");
    line.add("error", answer.name).add("status", std::uint64_t(answer.status)).add("detail", detail);
    line.add("ready", m_snapshot->isReady);
    if (m_snapshot->directory)
        line.add("version", m_snapshot->directory->version());
    m_events.add(std::move(line), monotonicNow());
}

void TrafficThread::handleCallerClosed(CallerCloseReason reason)
{
    m_metrics.closed(reason).add();
    DOGWOODHALL_LOG(request, warning) << "Closes connections of callers: " << toString(reason) << ".";
}

void TrafficThread::handleSilenceChange(const NetworkAddress& peer, SilenceChange change)
{
    switch (change) {
    case SilenceChange::Suspected:
        m_metrics.suspectedHomes.add();
        DOGWOODHALL_LOG(peer, warning) << "No answer to a PING from " << toString(peer) << "; it is passed by.";
        break;
    case SilenceChange::Trusted:
        DOGWOODHALL_LOG(peer, info) << "Member at " << toString(peer) << " answers again.";
        break;
    case SilenceChange::Closed:
        m_runner.handleHomeConnectionLost(peer);
        break;
    }
}

std::optional<Duration> TrafficThread::retryIfUncertain()
{
    checkForPause();
    return m_path.retryIfUncertain ? m_path.retryIfUncertain() : std::nullopt;
}

asio::awaitable<void> TrafficThread::handleCaller(IncomingRequest request, ResponseWriter writer)
{
    checkForPause();
    co_await m_path.run(std::move(request), writer);
}

asio::awaitable<void> TrafficThread::handlePeer(IncomingRequest request, ResponseWriter writer)
{
    checkForPause();
    const auto envelope = readEnvelope(request.head.fields);
    if (!envelope && request.head.target == gossipTarget) {
        co_await handleGossip(std::move(request), std::move(writer));
    } else if (!envelope) {
        m_metrics.peerProtocolErrors.add();
        co_await writeError(writer, ErrorKind::BadRequest, Outcome::NotRun);
    } else if (envelope->purpose == ForwardEnvelope::Purpose::Ticket) {
        removeInternalFields(request.head.fields);
        co_await m_tickets.run(std::move(request), writer, true);
    } else {
        co_await m_runner.runForwarded(std::move(request), *envelope, writer);
    }
}

asio::awaitable<void> TrafficThread::handleGossip(IncomingRequest request, ResponseWriter writer)
{
    auto body = co_await readFullBody(request.readBody, maxGossipBytes);
    if (!body)
        co_return;
    auto reply = co_await m_options.answerGossip(std::move(*body));
    if (!reply) {
        m_metrics.peerProtocolErrors.add();
        DOGWOODHALL_LOG(peer, warning) << "Rejected a gossip message from " << request.remote << ": " << reply.error()
                                       << ".";
        co_await writeError(writer, ErrorKind::BadRequest, Outcome::NotRun);
        co_return;
    }
    ResponseHead head;
    head.status = *reply ? 200 : budgetSpentStatus;
    const std::string text = reply->value_or("");
    co_await writeFullResponse(writer, head, text);
}

void TrafficThread::drain(const std::optional<StopSchedule>& schedule, std::function<void()> done)
{
    if (schedule && m_path.stop)
        m_path.stop(*schedule);
    m_drainDone = std::move(done);
    asio::co_spawn(m_io, finishDrain(), rethrowToLoop);
}

asio::awaitable<void> TrafficThread::finishDrain()
{
    m_sessions.closeAfterNextResponses();
    asio::steady_timer grace(
        m_io, std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_options.drainGrace));
    co_await grace.async_wait(useTuple);
    m_acceptor.close();
    m_sessions.stopAfterCurrentRequests();
    m_peerServer.shutdown([this] {
        m_peersDrained = true;
        checkDrained();
    });
    checkDrained();
}

void TrafficThread::endRequests(Duration writeTime, std::function<void()> done)
{
    const auto ended = m_sessions.endRequestsInProgress();
    if (ended > 0) {
        m_metrics.requestsEndedByStop.add(ended);
        DOGWOODHALL_LOG(daemon, warning) << "The grace period ends; " << ended << " requests are answered unfinished.";
    }
    m_endRequestsTimer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(writeTime));
    m_endRequestsTimer.async_wait([done = std::move(done)](boost::system::error_code ec) {
        if (!ec)
            done();
    });
}

void TrafficThread::checkDrained()
{
    const bool isDrained = m_peersDrained && m_sessions.empty() && m_tickets.running() == 0;
    if (m_drainDone && isDrained)
        std::exchange(m_drainDone, nullptr)();
}

void TrafficThread::stop()
{
    m_work.reset();
    m_io.stop();
}

} // namespace dogwoodhall
