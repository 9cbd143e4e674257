#include "dogwoodhall/pool/ConnectionQuota.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

constexpr std::uint64_t probeConnections = 1;

// Half of the connections that are needed neither for probes nor for requests in flight.
std::uint64_t halfOfSpareConnections(const ConnectionQuota& quota)
{
    const std::uint64_t needed = quota.requests.count() + probeConnections;
    return quota.maxConnections > needed ? (quota.maxConnections - needed) / 2 : 0;
}

} // namespace

std::size_t idleConnectionsAtHome(const ConnectionQuota& quota)
{
    return std::min(quota.requests.count(), halfOfSpareConnections(quota) / quota.threads);
}

std::size_t idleConnectionsElsewhere(const ConnectionQuota& quota)
{
    return halfOfSpareConnections(quota) / (quota.members * quota.threads);
}

} // namespace dogwoodhall
