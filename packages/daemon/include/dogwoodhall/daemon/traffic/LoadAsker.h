#pragma once

#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/traffic/RequestCodec.h"
#include "dogwoodhall/dispatch/RequestPlan.h"
#include "dogwoodhall/http/UpstreamClient.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <unordered_map>

namespace dogwoodhall {

// Asks endpoints for their load by their health paths and tells the endpoint book what they answered, also where the
// request that asked no longer waits. One for each traffic thread.
class LoadAsker {
public:
    // The references must outlive the object.
    LoadAsker(asio::io_context&, const RequestCodec&, EndpointBook&, UpstreamClient&, DaemonMetrics&, EventLog&);

    // Waits until all have answered or the question's patience has passed.
    asio::awaitable<void> ask(const AskEndpoints&);

private:
    // Health calls that a request waits for.
    struct Round {
        std::size_t pending = 0;
        asio::steady_timer done;
    };

    asio::awaitable<void> askOne(DirectoryEndpoint, std::string healthPath, std::uint64_t round);
    void noteHealthAnswer(const DirectoryEndpoint&, const ResponseHead&, TimePoint sentAt);

    asio::io_context& m_io;
    const RequestCodec& m_codec;
    EndpointBook& m_endpoints;
    UpstreamClient& m_upstreams;
    DaemonMetrics& m_metrics;
    EventLog& m_events;
    std::unordered_map<std::uint64_t, Round> m_rounds;
    std::uint64_t m_nextRound = 1;
};

} // namespace dogwoodhall
