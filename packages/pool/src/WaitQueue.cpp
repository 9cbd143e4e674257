#include "dogwoodhall/pool/WaitQueue.h"

namespace dogwoodhall {

namespace {

std::size_t laneIndex(WorkClass workClass, Priority priority)
{
    return static_cast<std::size_t>(workClass) * 2 + static_cast<std::size_t>(priority);
}

} // namespace

void WaitQueue::push(const PoolRequest& request)
{
    const std::size_t lane = laneIndex(request.workClass, request.priority);
    m_lanes[lane].emplace(m_next, request);
    m_index.emplace(request.id, Position { lane, m_next });
    m_deadlines.emplace(request.deadline, request.id);
    ++m_next;
}

std::optional<PoolRequest> WaitQueue::take(RequestId id)
{
    auto it = m_index.find(id);
    if (it == m_index.end())
        return std::nullopt;
    auto node = m_lanes[it->second.lane].extract(it->second.serial);
    m_deadlines.erase({ node.mapped().deadline, id });
    m_index.erase(it);
    return std::move(node.mapped());
}

std::optional<PoolRequest> WaitQueue::takeNewestLow(WorkClass workClass)
{
    const Lane& low = lane(workClass, Priority::Low);
    return low.empty() ? std::nullopt : take(low.rbegin()->second.id);
}

std::vector<PoolRequest> WaitQueue::takeExpired(TimePoint now)
{
    std::vector<PoolRequest> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expired.push_back(*take(m_deadlines.begin()->second));
    return expired;
}

std::vector<PoolRequest> WaitQueue::takeAll() { return takeExpired(TimePoint::max()); }

const WaitQueue::Lane& WaitQueue::lane(WorkClass workClass, Priority priority) const
{
    return m_lanes[laneIndex(workClass, priority)];
}

std::size_t WaitQueue::size(WorkClass workClass) const
{
    return lane(workClass, Priority::Normal).size() + lane(workClass, Priority::Low).size();
}

std::optional<TimePoint> WaitQueue::earliestDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

} // namespace dogwoodhall
