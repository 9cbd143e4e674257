#pragma once

#include "dogwoodhall/daemon/homes/PoolShard.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace dogwoodhall {

// Runs the function on the thread that owns the pool, passing that thread's shard.
using PostToShard = std::function<void(const PoolId&, std::function<void(PoolShard&)>)>;

class SlotGateway;

// A slot held at an endpoint. Released by complete(), or as cancelled by the destructor.
class SlotLease {
public:
    SlotLease(SlotGateway&, PoolId, RequestId, Placement);
    SlotLease(SlotLease&&) noexcept;
    SlotLease& operator=(SlotLease&&) = delete;
    ~SlotLease();

    const Placement& placement() const { return m_placement; }
    void complete(const Completion&);

private:
    SlotGateway* m_gateway;
    PoolId m_pool;
    RequestId m_request;
    Placement m_placement;
};

// One traffic thread's access to the pools of all threads. Requests wait here for the decision of their pool, which may
// be owned by another thread.
class SlotGateway {
public:
    SlotGateway(asio::io_context&, std::uint32_t threadIndex, PostToShard);

    // Waits for a slot. `request.id` is set here.
    asio::awaitable<tl::expected<SlotLease, ErrorKind>> acquire(PoolId, PoolRequest);

private:
    friend class SlotLease;

    struct Waiter {
        explicit Waiter(asio::io_context& io)
            : decided(io, asio::steady_timer::time_point::max())
        {
        }
        asio::steady_timer decided; // Cancelled when the pool has decided.
        std::optional<tl::expected<Placement, ErrorKind>> decision;
    };

    void setDecision(RequestId, tl::expected<Placement, ErrorKind>);
    void release(const PoolId&, RequestId, const Completion&);
    void abandon(const PoolId&, RequestId);

    asio::io_context& m_io;
    PostToShard m_post;
    std::uint64_t m_nextRequest;
    std::unordered_map<RequestId, Waiter> m_waiters;
};

} // namespace dogwoodhall
