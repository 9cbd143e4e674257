#include "dogwoodhall/daemon/homes/PoolShard.h"

#include "dogwoodhall/telemetry/Logging.h"

#include <type_traits>
#include <utility>

namespace dogwoodhall {

PoolShard::Entry::Entry(Pool pool, asio::io_context& io)
    : pool(std::move(pool))
    , timer(io)
{
}

PoolShard::PoolShard(asio::io_context& io, std::uint64_t seed)
    : m_io(io)
    , m_random(seed)
    , m_snapshot(std::make_shared<Snapshot>())
{
}

void PoolShard::apply(SnapshotPointer snapshot)
{
    m_snapshot = std::move(snapshot);
    for (auto& [id, entry] : m_pools)
        configure(entry);
}

void PoolShard::admit(const PoolId& id, const PoolRequest& request, Reply reply)
{
    Entry& entry = entryFor(id);
    entry.waiting.emplace(request.id, std::move(reply));
    perform(id, entry, entry.pool.admit(request, context()));
}

void PoolShard::complete(const PoolId& id, RequestId request, const Completion& completion)
{
    Entry& entry = entryFor(id);
    perform(id, entry, entry.pool.complete(request, completion, context()));
}

void PoolShard::cancel(const PoolId& id, RequestId request)
{
    Entry& entry = entryFor(id);
    entry.waiting.erase(request);
    perform(id, entry, entry.pool.cancel(request, context()));
}

std::vector<PoolLoadSummary> PoolShard::loads() const
{
    std::vector<PoolLoadSummary> summaries;
    const TimePoint now = monotonicNow();
    for (const auto& [id, entry] : m_pools) {
        // If the pool's home is another member, only part of the pool's load is visible here.
        if (!m_snapshot->remoteHomes.contains(id))
            summaries.push_back({ id, entry.pool.expectedWait(now), entry.pool.freeSlots(), {} });
    }
    return summaries;
}

std::size_t PoolShard::reportEjections()
{
    std::size_t added = 0;
    const TimePoint now = monotonicNow();
    for (auto& [id, entry] : m_pools) {
        const auto before = std::exchange(entry.ejected, entry.pool.ejected(now));
        for (const auto& endpoint : entry.ejected) {
            if (before.contains(endpoint))
                continue;
            ++added;
            DOGWOODHALL_LOG(request, warning) << "Ejected endpoint " << endpoint << " of " << toString(id)
                                              << ", which failed or was slow repeatedly.";
        }
        for (const auto& endpoint : before) {
            if (!entry.ejected.contains(endpoint))
                DOGWOODHALL_LOG(request, info)
                    << "Endpoint " << endpoint << " of " << toString(id) << " is no longer ejected.";
        }
    }
    return added;
}

void PoolShard::observeHealth(const ProbeTarget& target, const HealthReport& report)
{
    Entry& entry = entryFor(target.pool);
    entry.pool.observeLoad(target.endpoint, report.inUse, monotonicNow());
    entry.pool.observeRoundTrip(report.roundTrip);
    if (report.isDraining)
        perform(target.pool, entry, entry.pool.setLeaving(target.endpoint, context()));
}

PoolShard::Entry& PoolShard::entryFor(const PoolId& id)
{
    auto it = m_pools.find(id);
    if (it == m_pools.end()) {
        it = m_pools.try_emplace(id, Pool(id, PoolLimits {}, leastLoaded()), m_io).first;
        configure(it->second);
    }
    return it->second;
}

void PoolShard::configure(Entry& entry)
{
    std::vector<PoolEndpoint> endpoints;
    entry.addresses.clear();
    PoolLimits limits;
    const PoolId& id = entry.pool.id();
    if (const auto* service = m_snapshot->routes.service(id.service)) {
        limits.queuePerSlot = service->limits.queuePerSlot;
        limits.longWorkShare = service->limits.longWorkShare;
        limits.coldRamp = service->limits.coldRamp;
        const bool isExcluded = m_snapshot->eligibility.exclusionOf(*service, id.dataCentre).has_value();
        for (const auto& endpoint : service->endpoints) {
            if (endpoint.dataCentre != id.dataCentre)
                continue;
            const bool isLeaving = isExcluded || m_snapshot->leavingUpstreamHosts.contains(endpoint.host);
            endpoints.push_back({ endpoint.id, endpoint.slots, isLeaving });
            entry.addresses[endpoint.id] = endpoint.address;
        }
    }
    perform(id, entry, entry.pool.reconfigure(endpoints, limits, context()));
}

void PoolShard::perform(const PoolId& id, Entry& entry, const PoolActions& actions)
{
    const auto answer = [&](RequestId request, tl::expected<Placement, ErrorKind> result) {
        auto node = entry.waiting.extract(request);
        if (node)
            node.mapped()(request, std::move(result));
    };
    for (const auto& action : actions) {
        if (const auto* dispatch = std::get_if<Dispatch>(&action))
            answer(dispatch->request, Placement { dispatch->endpoint, entry.addresses.at(dispatch->endpoint) });
        else if (const auto* refuse = std::get_if<Refuse>(&action))
            answer(refuse->request, tl::unexpected(refuse->kind));
        else if (const auto* timer = std::get_if<ArmTimer>(&action))
            armTimer(id, entry, timer->at);
    }
}

void PoolShard::armTimer(const PoolId& id, Entry& entry, TimePoint at)
{
    entry.timer.expires_at(toSteadyClock(at));
    entry.timer.async_wait([this, id](boost::system::error_code ec) {
        if (ec)
            return;
        Entry& entry = entryFor(id);
        perform(id, entry, entry.pool.expire(context()));
    });
}

DecisionContext PoolShard::context() { return { monotonicNow(), m_random }; }

} // namespace dogwoodhall
