#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/daemon/Snapshot.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace dogwoodhall {

// How many unused connections one traffic thread may keep to each endpoint that it has used, so that all members
// together stay within the connections that the endpoint accepts (`maxConnections` of its declaration).
class ConnectionQuotas {
public:
    explicit ConnectionQuotas(std::uint32_t trafficThreads);

    void apply(SnapshotPointer);
    // To be called before the endpoint's address is connected to.
    void use(const NetworkAddress&, const PoolId&);
    // Zero for an address that was not used, or whose endpoint is no longer declared.
    std::size_t idleLimit(const NetworkAddress&) const;

private:
    struct Use {
        PoolId pool;
        std::size_t limit = 0;
    };

    std::size_t limitFor(const NetworkAddress&, const PoolId&) const;

    std::uint32_t m_trafficThreads;
    SnapshotPointer m_snapshot;
    std::map<NetworkAddress, Use> m_uses;
};

} // namespace dogwoodhall
