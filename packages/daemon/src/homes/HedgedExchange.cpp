#include "dogwoodhall/daemon/homes/HedgedExchange.h"

#include "dogwoodhall/exchange/UseTuple.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace dogwoodhall {

using asio::experimental::awaitable_operators::operator||;

namespace {

// A hedge uses only a free slot: waiting in the queue would cost more time than it could save.
constexpr Duration maxHedgeWait = std::chrono::milliseconds(1);

ExchangeError cancelled() { return { ErrorKind::Cancelled, false, "cancelled" }; }

} // namespace

HedgedExchange::HedgedExchange(TrafficServices& services, Plan plan)
    : m_services(services)
    , m_plan(std::move(plan))
{
}

HedgedExchange::~HedgedExchange()
{
    if (m_first && *m_first)
        (*m_first)->abandon();
    if (m_second)
        m_second->abandon();
}

ExchangeResult<IncomingResponse> HedgedExchange::run()
{
    if (m_plan.delay)
        co_await (runFirst() || runSecond());
    else
        co_await runFirst();
    if (m_second && !(m_first && *m_first))
        co_return *std::exchange(m_second, std::nullopt);
    m_lease.reset();
    if (!m_first)
        co_return tl::unexpected(cancelled());
    co_return *std::exchange(m_first, std::nullopt);
}

asio::awaitable<void> HedgedExchange::runFirst()
{
    m_services.connections.use(m_plan.address, m_plan.pool);
    m_first = co_await m_services.upstreams.exchange(m_plan.address, m_plan.makeRequest(), m_plan.deadline);
}

asio::awaitable<void> HedgedExchange::runSecond()
{
    asio::steady_timer timer(m_services.io);
    // If no slot was free, retries after the same delay, because a first endpoint that hangs may never respond.
    while (!m_hasHedged) {
        timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(*m_plan.delay));
        // Usually the response arrives first and cancels this wait; a hedge that is not sent takes nothing from the
        // budget. Reporting the cancellation by an exception would cost 17,000 instructions.
        co_await asio::this_coro::throw_if_cancelled(false);
        auto [ec] = co_await timer.async_wait(useTuple);
        if (ec)
            co_return;
        co_await asio::this_coro::throw_if_cancelled(true);
        const bool isAnswered = co_await exchangeSecond();
        if (isAnswered)
            co_return;
    }
    co_await waitForever();
}

asio::awaitable<bool> HedgedExchange::exchangeSecond()
{
    m_plan.second.deadline = monotonicNow() + maxHedgeWait;
    auto lease = co_await m_services.slots.acquire(m_plan.pool, m_plan.second);
    if (!lease || !m_plan.takeBudget())
        co_return false;
    m_hasHedged = true;
    m_services.metrics.hedges.add();
    m_services.connections.use(lease->placement().address, m_plan.pool);
    auto response
        = co_await m_services.upstreams.exchange(lease->placement().address, m_plan.makeRequest(), m_plan.deadline);
    if (!response)
        co_return false;
    // Only a response without a server error ends the wait for the first endpoint.
    if (response->head.status >= 500) {
        response->abandon();
        co_return false;
    }
    m_lease.emplace(std::move(*lease));
    m_second = std::move(*response);
    co_return true;
}

asio::awaitable<void> HedgedExchange::waitForever()
{
    asio::steady_timer never(m_services.io, asio::steady_timer::time_point::max());
    co_await never.async_wait(useTuple);
}

} // namespace dogwoodhall
