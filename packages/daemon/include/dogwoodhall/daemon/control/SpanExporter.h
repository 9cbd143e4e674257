#pragma once

#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/http/UpstreamClient.h"
#include "dogwoodhall/telemetry/SpanQueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

namespace dogwoodhall {

// Exports finished spans to the collector as OTLP JSON over HTTP, in batches. Spans that the collector does not accept
// are dropped and counted. Runs on the control thread.
class SpanExporter {
public:
    SpanExporter(asio::io_context&, std::optional<NetworkAddress> collector, std::string instance, Counter& dropped);

    void add(Span);
    // Exports until the event loop ends.
    asio::awaitable<void> run();

private:
    asio::awaitable<bool> send(std::vector<Span>);

    asio::io_context& m_io;
    std::optional<NetworkAddress> m_collector;
    std::string m_instance;
    Counter& m_dropped;
    SpanQueue m_queue;
    UpstreamClient m_client;
};

} // namespace dogwoodhall
