#include "dogwoodhall/daemon/traffic/ConnectionQuotas.h"

#include "dogwoodhall/pool/ConnectionQuota.h"
#include "dogwoodhall/pool/DispatchAllowance.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

ConnectionQuotas::ConnectionQuotas(std::uint32_t trafficThreads)
    : m_trafficThreads(trafficThreads)
    , m_snapshot(std::make_shared<Snapshot>())
{
}

void ConnectionQuotas::apply(SnapshotPointer snapshot)
{
    m_snapshot = std::move(snapshot);
    for (auto& [address, use] : m_uses)
        use.limit = limitFor(address, use.pool);
    std::erase_if(m_uses, [](const auto& item) { return item.second.limit == 0; });
}

void ConnectionQuotas::use(const NetworkAddress& address, const PoolId& pool)
{
    const auto [it, isNew] = m_uses.try_emplace(address);
    if (isNew)
        it->second = { pool, limitFor(address, pool) };
}

std::size_t ConnectionQuotas::idleLimit(const NetworkAddress& address) const
{
    auto it = m_uses.find(address);
    return it == m_uses.end() ? 0 : it->second.limit;
}

std::size_t ConnectionQuotas::limitFor(const NetworkAddress& address, const PoolId& pool) const
{
    const auto* service = m_snapshot->routes.service(pool.service);
    if (!service)
        return 0;
    const auto& endpoints = service->endpoints;
    const auto endpoint = std::find_if(
        endpoints.begin(), endpoints.end(), [&](const EndpointDeclaration& it) { return it.address == address; });
    if (endpoint == endpoints.end())
        return 0;
    const ConnectionQuota quota { endpoint->maxConnections, endpoint->slots + AllowanceLimits {}.maxRequests,
        m_snapshot->members.size() + 1, m_trafficThreads };
    const bool isHome = !m_snapshot->remoteHomes.contains(pool);
    return isHome ? idleConnectionsAtHome(quota) : idleConnectionsElsewhere(quota);
}

} // namespace dogwoodhall
