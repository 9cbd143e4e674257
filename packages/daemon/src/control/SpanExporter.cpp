#include "dogwoodhall/daemon/control/SpanExporter.h"

#include "dogwoodhall/exchange/WholeBody.h"
#include "dogwoodhall/telemetry/Logging.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

constexpr std::size_t queueCapacity = 4096;
constexpr std::size_t batchSize = 256;
constexpr auto exportPeriod = std::chrono::seconds(1);
constexpr auto exportTimeout = std::chrono::seconds(2);
constexpr ByteCount maxReply { 64 * 1024 };

OutgoingRequest makeRequest(std::string body, const NetworkAddress& collector)
{
    OutgoingRequest request;
    request.head.method = "POST";
    request.head.target = "/v1/traces";
    request.head.fields.add("Host", toString(collector));
    request.head.fields.add("Content-Type", "application/json");
    request.head.bodyLength = { BodyLength::Kind::Exact, ByteCount(body.size()) };
    request.readBody = stringBody(std::move(body));
    return request;
}

} // namespace

SpanExporter::SpanExporter(
    asio::io_context& io, std::optional<NetworkAddress> collector, std::string instance, Counter& dropped)
    : m_io(io)
    , m_collector(collector)
    , m_instance(std::move(instance))
    , m_dropped(dropped)
    , m_queue(queueCapacity, dropped)
    , m_client(io.get_executor(), UpstreamLimits {})
{
}

void SpanExporter::add(Span span)
{
    if (m_collector)
        m_queue.add(std::move(span));
}

asio::awaitable<void> SpanExporter::run()
{
    asio::steady_timer timer(m_io);
    while (m_collector) {
        timer.expires_after(exportPeriod);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        while (m_queue.size() > 0) {
            auto batch = m_queue.take(batchSize);
            const std::size_t size = batch.size();
            if (!co_await send(std::move(batch))) {
                m_dropped.add(size);
                DOGWOODHALL_LOG(trace, warning) << "The trace collector takes no spans.";
                break;
            }
        }
    }
}

asio::awaitable<bool> SpanExporter::send(std::vector<Span> spans)
{
    auto request = makeRequest(toOtlpJson(spans, m_instance), *m_collector);
    const auto deadline = std::chrono::steady_clock::now() + exportTimeout;
    auto response = co_await m_client.exchange(*m_collector, std::move(request), deadline);
    if (!response)
        co_return false;
    co_await readFullBody(*response, maxReply, deadline);
    co_return response->head.status == 200;
}

} // namespace dogwoodhall
