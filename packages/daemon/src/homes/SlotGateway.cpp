#include "dogwoodhall/daemon/homes/SlotGateway.h"

#include "dogwoodhall/exchange/UseTuple.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

// The top 16 bits of a request id hold the thread index, so that ids from different threads are distinct in a pool.
constexpr unsigned threadShift = 48;

} // namespace

SlotLease::SlotLease(SlotGateway& gateway, PoolId pool, RequestId request, Placement placement)
    : m_gateway(&gateway)
    , m_pool(std::move(pool))
    , m_request(request)
    , m_placement(std::move(placement))
{
}

SlotLease::SlotLease(SlotLease&& other) noexcept
    : m_gateway(std::exchange(other.m_gateway, nullptr))
    , m_pool(std::move(other.m_pool))
    , m_request(other.m_request)
    , m_placement(std::move(other.m_placement))
{
}

SlotLease::~SlotLease()
{
    if (m_gateway)
        m_gateway->release(m_pool, m_request, { CompletionResult::Cancelled, {}, {}, false });
}

void SlotLease::complete(const Completion& completion)
{
    if (m_gateway)
        std::exchange(m_gateway, nullptr)->release(m_pool, m_request, completion);
}

SlotGateway::SlotGateway(asio::io_context& io, std::uint32_t threadIndex, PostToShard post)
    : m_io(io)
    , m_post(std::move(post))
    , m_nextRequest((static_cast<std::uint64_t>(threadIndex) << threadShift) + 1)
{
}

asio::awaitable<tl::expected<SlotLease, ErrorKind>> SlotGateway::acquire(PoolId pool, PoolRequest request)
{
    const RequestId id(m_nextRequest++);
    request.id = id;
    Waiter& waiter = m_waiters.try_emplace(id, m_io).first->second;
    // Removes the request from the pool's queue if it is cancelled while waiting.
    struct Guard {
        SlotGateway& gateway;
        const PoolId& pool;
        RequestId id;
        ~Guard()
        {
            auto it = gateway.m_waiters.find(id);
            const bool undecided = !it->second.decision.has_value();
            gateway.m_waiters.erase(it);
            if (undecided)
                gateway.abandon(pool, id);
        }
    } guard { *this, pool, id };

    m_post(pool, [this, pool, request](PoolShard& shard) {
        shard.admit(pool, request, [this](RequestId id, tl::expected<Placement, ErrorKind> result) {
            asio::post(m_io, [this, id, result] { setDecision(id, result); });
        });
    });
    if (!waiter.decision)
        co_await waiter.decided.async_wait(useTuple);
    if (!waiter.decision)
        co_return tl::unexpected(ErrorKind::Cancelled);
    if (!*waiter.decision)
        co_return tl::unexpected(waiter.decision->error());
    co_return SlotLease(*this, pool, id, **waiter.decision);
}

void SlotGateway::setDecision(RequestId id, tl::expected<Placement, ErrorKind> result)
{
    auto it = m_waiters.find(id);
    if (it == m_waiters.end())
        return;
    it->second.decision = std::move(result);
    it->second.decided.cancel();
}

void SlotGateway::release(const PoolId& pool, RequestId id, const Completion& completion)
{
    m_post(pool, [pool, id, completion](PoolShard& shard) { shard.complete(pool, id, completion); });
}

void SlotGateway::abandon(const PoolId& pool, RequestId id)
{
    m_post(pool, [pool, id](PoolShard& shard) { shard.cancel(pool, id); });
}

} // namespace dogwoodhall
