#pragma once

#include "dogwoodhall/pool/PoolActions.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dogwoodhall {

// Requests that wait for a slot, first come, first served within a work class and priority. Every operation takes at
// most logarithmic time in the number of waiting requests.
class WaitQueue {
public:
    // Arrival number of a request over all classes and priorities.
    using Serial = std::uint64_t;
    using Lane = std::map<Serial, PoolRequest>;

    void push(const PoolRequest&);
    // Removes and returns the request, or nullopt if it is not queued.
    std::optional<PoolRequest> take(RequestId);
    // Removes and returns the newest low-priority request of the class, which is the first to be displaced.
    std::optional<PoolRequest> takeNewestLow(WorkClass);
    std::vector<PoolRequest> takeExpired(TimePoint now);
    std::vector<PoolRequest> takeAll();

    const Lane& lane(WorkClass, Priority) const;
    std::size_t size() const { return m_index.size(); }
    std::size_t size(WorkClass) const;
    bool empty() const { return m_index.empty(); }
    std::optional<TimePoint> earliestDeadline() const;

private:
    struct Position {
        std::size_t lane;
        Serial serial;
    };

    std::array<Lane, 4> m_lanes;
    std::unordered_map<RequestId, Position> m_index;
    std::set<std::pair<TimePoint, RequestId>> m_deadlines;
    Serial m_next = 0;
};

} // namespace dogwoodhall
