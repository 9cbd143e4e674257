#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/GossipMessage.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

// The expected waits of the pools as last reported to one traffic thread: by gossip, by the pools of this process, and
// in the responses of homes. All values may be stale.
class LoadTable {
public:
    struct Load {
        Duration expectedWait {};
        TimePoint measuredAt;
    };

    // Ignores values that are older than the stored one.
    void observe(const PoolId&, Duration expectedWait, TimePoint measuredAt);
    void observe(const std::vector<PoolLoadSummary>&, TimePoint now);

    std::optional<Load> find(const PoolId&) const;
    // Called after a pause of the process, when all values are outdated.
    void clear() { m_loads.clear(); }

private:
    std::unordered_map<PoolId, Load> m_loads;
};

} // namespace dogwoodhall
