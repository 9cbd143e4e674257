#pragma once

#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/traffic/RequestCodec.h"
#include "dogwoodhall/daemon/traffic/WithdrawalRecorder.h"
#include "dogwoodhall/dispatch/RequestPlan.h"
#include "dogwoodhall/http/UpstreamClient.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <unordered_map>

namespace dogwoodhall {

// Queries the health paths of endpoints for their load and records the responses in the endpoint tracker, including
// those that arrive after the request has stopped waiting. One instance per traffic thread.
class LoadQuerier {
public:
    // The references must outlive the object.
    LoadQuerier(asio::io_context&, const RequestCodec&, EndpointTracker&, WithdrawalRecorder&, UpstreamClient&,
        DaemonMetrics&, EventLog&);

    // Waits until all endpoints have responded or the query's time limit has passed.
    asio::awaitable<void> queryEndpoints(const ProbeEndpoints&);

private:
    // A group of health calls that a request waits for.
    struct PendingQuery {
        std::size_t pending = 0;
        asio::steady_timer done;
    };

    asio::awaitable<void> queryEndpoint(DirectoryEndpoint, std::string healthPath, std::uint64_t queryId);
    OutgoingRequest makeHealthRequest(const DirectoryEndpoint&, std::string healthPath);
    void handleHealthResponse(const DirectoryEndpoint&, const ResponseHead&, TimePoint sentAt);

    asio::io_context& m_io;
    const RequestCodec& m_codec;
    EndpointTracker& m_endpoints;
    WithdrawalRecorder& m_withdrawals;
    UpstreamClient& m_upstreams;
    DaemonMetrics& m_metrics;
    EventLog& m_events;
    std::unordered_map<std::uint64_t, PendingQuery> m_pendingQueries;
    std::uint64_t m_nextQueryId = 1;
};

} // namespace dogwoodhall
