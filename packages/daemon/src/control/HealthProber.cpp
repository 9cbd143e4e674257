#include "dogwoodhall/daemon/control/HealthProber.h"

#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/exchange/WholeBody.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <optional>
#include <utility>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

// Two periods are shorter than the few seconds within which a leaving upstream must stop getting new requests.
constexpr auto probePeriod = std::chrono::milliseconds(1500);
constexpr auto probeTimeout = std::chrono::seconds(1);
constexpr ByteCount maxReport { 4096 };
// Size of a probe with its TCP overhead, as charged to the budget.
constexpr ByteCount probeCost { 300 };

std::optional<HealthReport> parseReport(const std::string& body)
{
    boost::system::error_code ec;
    const auto document = json::parse(body, ec);
    const auto* object = ec ? nullptr : document.if_object();
    const auto* state = object ? object->if_contains("state") : nullptr;
    const auto* inUse = object ? object->if_contains("inUse") : nullptr;
    if (!state || !state->is_string())
        return std::nullopt;
    HealthReport report;
    report.isDraining = state->as_string() == "draining";
    if (inUse && inUse->is_int64() && inUse->as_int64() >= 0)
        report.inUse = SlotCount(static_cast<std::uint64_t>(inUse->as_int64()));
    return report;
}

} // namespace

HealthProber::HealthProber(asio::io_context& io, Hooks hooks)
    : m_io(io)
    , m_hooks(std::move(hooks))
    , m_client(io.get_executor(), UpstreamLimits {})
{
}

asio::awaitable<void> HealthProber::run()
{
    asio::steady_timer timer(m_io);
    while (true) {
        const auto targets = m_hooks.targets();
        const auto gap = std::chrono::nanoseconds(probePeriod) / std::max<std::size_t>(1, targets.size());
        for (const auto& target : targets) {
            if (m_hooks.chargeBudget(probeCost))
                asio::co_spawn(m_io, probe(target), rethrowToLoop);
            timer.expires_after(gap);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        if (targets.empty()) {
            timer.expires_after(probePeriod);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

asio::awaitable<void> HealthProber::probe(ProbeTarget target)
{
    OutgoingRequest request;
    request.head.method = "GET";
    request.head.target = "/health";
    request.head.fields.add("Host", toString(target.address));
    request.readBody = emptyBody();
    const auto sentAt = std::chrono::steady_clock::now();
    const auto deadline = sentAt + probeTimeout;
    auto response = co_await m_client.exchange(target.address, std::move(request), deadline);
    if (!response)
        co_return;
    const Duration roundTrip = std::chrono::steady_clock::now() - sentAt;
    auto body = co_await readFullBody(*response, maxReport, deadline);
    if (!body)
        co_return;
    auto report = parseReport(*body);
    if (!report)
        co_return;
    report->roundTrip = roundTrip;
    m_hooks.report(target, *report);
}

} // namespace dogwoodhall
