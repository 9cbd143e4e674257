#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/daemon/Snapshot.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace dogwoodhall {

// Limits the idle connections that one traffic thread keeps to each endpoint it has used, so that the whole fleet stays
// within the number of connections that the endpoint accepts (`maxConnections` in its declaration).
class ConnectionQuotas {
public:
    explicit ConnectionQuotas(std::uint32_t trafficThreads);

    void apply(SnapshotPointer);
    // Must be called before connecting to the endpoint's address.
    void use(const NetworkAddress&, const PoolId&);
    // Zero for an address that has not been used, or whose endpoint is no longer declared.
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
