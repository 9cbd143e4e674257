#include "dogwoodhall/pool/Pool.h"

#include <benchmark/benchmark.h>
#include <deque>
#include <string>

using namespace dogwoodhall;

namespace {

constexpr std::uint64_t slots = 4;

Pool makePool(std::size_t endpoints, RandomEngine& random)
{
    std::vector<PoolEndpoint> declared;
    for (std::size_t n = 0; n < endpoints; ++n)
        declared.push_back({ EndpointId("endpoint-" + std::to_string(n)), SlotCount(slots), false });
    Pool pool({ ServiceId("s"), DataCentreId("d") }, PoolLimits {}, leastLoaded());
    pool.reconfigure(declared, PoolLimits {}, { TimePoint(), random });
    return pool;
}

// Measures the admission and completion of one request while `held` requests per endpoint are in the pool. If these are
// more than the slots and the allowance, requests wait in the queue.
void admitAndComplete(benchmark::State& state)
{
    RandomEngine random(1);
    const auto endpoints = static_cast<std::size_t>(state.range(0));
    Pool pool = makePool(endpoints, random);
    std::deque<RequestId> dispatched;
    std::uint64_t next = 0;
    TimePoint now;
    const auto recordDispatches = [&](const PoolActions& actions) {
        for (const auto& action : actions) {
            if (const auto* it = std::get_if<Dispatch>(&action))
                dispatched.push_back(it->request);
        }
    };
    const auto admit = [&] {
        recordDispatches(pool.admit({ RequestId(++next), {}, {}, TimePoint::max(), {} }, { now, random }));
    };
    for (std::size_t n = 0; n < endpoints * static_cast<std::size_t>(state.range(1)); ++n)
        admit();
    for (auto _ : state) {
        now = now + std::chrono::microseconds(10);
        admit();
        const RequestId ended = dispatched.front();
        dispatched.pop_front();
        recordDispatches(pool.complete(
            ended, { CompletionResult::Answered, std::chrono::milliseconds(5), {}, false }, { now, random }));
    }
}
BENCHMARK(admitAndComplete)->ArgNames({ "endpoints", "held" })->ArgsProduct({ { 3, 10, 100, 300 }, { 1, 8 } });

} // namespace

BENCHMARK_MAIN();
