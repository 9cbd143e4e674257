// Measures the cost of a pool home on its traffic thread: the memory of its pools and waiting requests, and the
// processor time of handling a request in a pool and of applying a new snapshot.
#include "GeneratedConfiguration.h"
#include "SlopeFit.h"
#include "dogwoodhall/daemon/homes/PoolShard.h"
#include "dogwoodhall/daemon/homes/SlotGateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace dogwoodhall;

namespace {

SnapshotPointer makeSnapshot(int services, int endpointsPerService)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->routes = RouteTable(makeConfiguration(services, services * endpointsPerService)->sharedServices());
    return snapshot;
}

// Each service's endpoints are spread evenly over 7 data centres, so that a pool has a seventh of them.
PoolId poolOf(int service) { return { ServiceId("service-" + std::to_string(service)), DataCentreId("dc-0") }; }

PoolRequest requestOf(std::uint64_t id)
{
    PoolRequest request;
    request.id = RequestId(id);
    request.deadline = monotonicNow() + std::chrono::hours(1);
    return request;
}

// Uses each of the pools once.
void usePools(PoolShard& shard, int pools)
{
    for (int n = 0; n < pools; ++n) {
        const auto id = static_cast<std::uint64_t>(n) + 1;
        shard.admit(poolOf(n), requestOf(id), [](RequestId, const tl::expected<Placement, ErrorKind>&) {});
        shard.complete(
            poolOf(n), RequestId(id), { CompletionResult::Answered, std::chrono::milliseconds(1), {}, false });
    }
}

void printPools()
{
    SlopeFit memory("memory of pools of 4 endpoints", "bytes", "pools");
    SlopeFit apply("taking a snapshot", "us", "pools of 4 endpoints");
    const auto snapshot = makeSnapshot(1200, 28);
    for (const int pools : { 3, 30, 300, 1200 }) {
        asio::io_context io(1);
        PoolShard shard(io, 1);
        shard.apply(snapshot);
        const double before = allocatedBytes();
        usePools(shard, pools);
        memory.add(pools, allocatedBytes() - before);
        apply.add(pools, microsecondsPerCall(20, [&](int) { shard.apply(snapshot); }));
    }
    memory.print();
    apply.print();
    SlopeFit byEndpoint("memory of a pool, of 100", "bytes", "endpoints of the pool");
    for (const int endpoints : { 1, 4, 16, 35 }) {
        asio::io_context io(1);
        PoolShard shard(io, 1);
        shard.apply(makeSnapshot(100, endpoints * 7));
        const double before = allocatedBytes();
        usePools(shard, 100);
        byEndpoint.add(endpoints, (allocatedBytes() - before) / 100);
    }
    byEndpoint.print();
}

// Requests wait as they do in a daemon, each in a coroutine in SlotGateway. The pool has 35 endpoints with 3 slots each
// and a queue of 6 requests per slot.
void printWaiting()
{
    SlopeFit memory("memory of waiting requests", "bytes", "waiting requests");
    SlopeFit time("request at its pool, admitted, waited and completed", "us", "waiting requests");
    const auto snapshot = makeSnapshot(1, 35 * 7);
    for (const int waiting : { 0, 100, 300, 600 }) {
        asio::io_context io(1);
        PoolShard shard(io, 1);
        shard.apply(snapshot);
        SlotGateway gateway(io, 0, [&](const PoolId&, const std::function<void(PoolShard&)>& call) { call(shard); });
        const auto acquire = [&]() -> asio::awaitable<void> {
            auto request = requestOf(0);
            auto lease = co_await gateway.acquire(poolOf(0), std::move(request));
            if (lease)
                lease->complete({ CompletionResult::Answered, std::chrono::milliseconds(1), {}, false });
        };
        std::uint64_t next = 1ULL << 40;
        std::vector<RequestId> held;
        const auto hold = [&] {
            shard.admit(
                poolOf(0), requestOf(++next), [&](RequestId id, const tl::expected<Placement, ErrorKind>& result) {
                    if (result)
                        held.push_back(id);
                });
        };
        for (int n = 0; n < 35 * 4; ++n)
            hold();
        const double before = allocatedBytes();
        for (int n = 0; n < waiting; ++n)
            asio::co_spawn(io, acquire(), asio::detached);
        io.poll();
        memory.add(waiting, allocatedBytes() - before);
        // Each call adds one waiting request and frees a slot for the first request in the queue. The nine batches
        // complete fewer requests than the 140 held at the start; coroutines keep their slots until the loop is polled.
        std::size_t first = 0;
        const auto completeFirst = [&] {
            shard.complete(
                poolOf(0), held[first++], { CompletionResult::Answered, std::chrono::milliseconds(1), {}, false });
        };
        time.add(waiting, microsecondsPerCall(15, [&](int) {
            hold();
            completeFirst();
        }));
        // The coroutines must end before the objects that they refer to are destroyed.
        while (first < held.size()) {
            completeFirst();
            io.poll();
        }
    }
    memory.print();
    time.print();
}

} // namespace

int main()
{
    printPools();
    printWaiting();
    return 0;
}
