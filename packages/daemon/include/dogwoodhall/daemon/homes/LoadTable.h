#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/GossipMessage.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace dogwoodhall {

// What one traffic thread last heard of the pools' expected waits: from gossip, from the pools of this process, and
// with the answers of homes. All of it is stale.
class LoadTable {
public:
    struct Load {
        Duration expectedWait {};
        TimePoint measuredAt;
    };

    // Older news than what is known is ignored.
    void observe(const PoolId&, Duration expectedWait, TimePoint measuredAt);
    void observe(const std::vector<PoolLoadSummary>&, TimePoint now);

    std::optional<Load> find(const PoolId&) const;
    // Forgets everything, as after a pause.
    void clear() { m_loads.clear(); }

private:
    std::unordered_map<PoolId, Load> m_loads;
};

} // namespace dogwoodhall
