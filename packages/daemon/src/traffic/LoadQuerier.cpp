#include "dogwoodhall/daemon/traffic/LoadQuerier.h"

#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/UseTuple.h"
#include "dogwoodhall/exchange/WholeBody.h"

#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

// If the health call takes longer, the endpoint or the network path to it is considered lost.
constexpr Duration healthTimeout = std::chrono::milliseconds(250);
constexpr ByteCount healthBodyLimit { 4096 };

} // namespace

LoadQuerier::LoadQuerier(asio::io_context& io, const RequestCodec& codec, EndpointTracker& endpoints,
    WithdrawalRecorder& withdrawals, UpstreamClient& upstreams, DaemonMetrics& metrics, EventLog& events)
    : m_io(io)
    , m_codec(codec)
    , m_endpoints(endpoints)
    , m_withdrawals(withdrawals)
    , m_upstreams(upstreams)
    , m_metrics(metrics)
    , m_events(events)
{
}

asio::awaitable<void> LoadQuerier::queryEndpoints(const ProbeEndpoints& query)
{
    const std::uint64_t id = m_nextQueryId++;
    struct Guard {
        std::unordered_map<std::uint64_t, PendingQuery>& pendingQueries;
        std::uint64_t id;
        ~Guard() { pendingQueries.erase(id); }
    } guard { m_pendingQueries, id };
    const auto [it, isNew]
        = m_pendingQueries.emplace(id, PendingQuery { query.endpoints.size(), asio::steady_timer(m_io) });
    auto& done = it->second.done;
    done.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(query.timeout));
    for (const auto& endpoint : query.endpoints)
        asio::co_spawn(m_io, queryEndpoint(endpoint, query.healthPath, id), rethrowToLoop);
    co_await done.async_wait(useTuple);
}

asio::awaitable<void> LoadQuerier::queryEndpoint(
    DirectoryEndpoint endpoint, std::string healthPath, std::uint64_t queryId)
{
    const auto& registration = *endpoint.registration;
    OutgoingRequest request = makeHealthRequest(endpoint, std::move(healthPath));
    m_metrics.loadAsks.add();
    const TimePoint sentAt = monotonicNow();
    const auto deadline = toSteadyClock(sentAt + healthTimeout);
    auto response = co_await m_upstreams.exchange(registration.address, std::move(request), deadline);
    if (response) {
        auto body = co_await readFullBody(*response, healthBodyLimit, deadline);
        if (body) {
            handleHealthResponse(endpoint, response->head, sentAt);
        } else {
            m_metrics.loadAsksUnanswered.add();
            m_endpoints.recordUnansweredProbe(registration.id, false, monotonicNow());
        }
    } else if (!response.error().isWithheld) {
        m_metrics.loadAsksUnanswered.add();
        // The other idle connections to this endpoint may be dead too, and each would cost a time-out.
        if (response.error().onReusedConnection)
            m_upstreams.closeIdleConnectionsTo(registration.address);
        m_endpoints.recordUnansweredProbe(registration.id, response.error().onReusedConnection, monotonicNow());
    }
    const auto it = m_pendingQueries.find(queryId);
    if (it != m_pendingQueries.end() && --it->second.pending == 0)
        it->second.done.cancel();
}

OutgoingRequest LoadQuerier::makeHealthRequest(const DirectoryEndpoint& endpoint, std::string healthPath)
{
    OutgoingRequest request;
    request.head.method = "GET";
    request.head.target = std::move(healthPath);
    request.head.fields.add("Host", toString(endpoint.registration->address));
    request.readBody = emptyBody();
    request.maySend = [this, it = endpoint.registration] { return m_withdrawals.mayProbe(it->id, it->incarnation); };
    request.onHead = [this, it = endpoint.registration](const ResponseHead& head) {
        m_withdrawals.observe(head, { it->id, it->incarnation, "health", {} });
    };
    return request;
}

void LoadQuerier::handleHealthResponse(const DirectoryEndpoint& endpoint, const ResponseHead& head, TimePoint sentAt)
{
    const auto& registration = *endpoint.registration;
    auto description = m_codec.readResponseHead(head);
    const bool isOtherEndpoint = description.endpoint && *description.endpoint != registration.id;
    if (isOtherEndpoint || description.isMisdirected) {
        EventLine line(EventKind::Belief, "endpoint-gone");
        line.add("endpoint", registration.id.value()).add("address", toString(registration.address));
        m_events.add(std::move(line), monotonicNow());
        m_endpoints.markReplaced(registration.id);
        return;
    }
    auto health = HealthStatus::Healthy;
    if (description.provenNotRun && !description.load)
        description.load = LoadReport { registration.slots, SlotCount(0), registration.slots, 1 };
    else if (!description.provenNotRun && head.status != 200)
        health = head.closesConnection ? HealthStatus::Closing : HealthStatus::Unhealthy;
    if (description.warmUpLeft)
        m_endpoints.recordWarmUp(registration.id, *description.warmUpLeft, sentAt, monotonicNow());
    m_endpoints.recordProbeResponse(registration.id, description.load, health, sentAt);
}

} // namespace dogwoodhall
