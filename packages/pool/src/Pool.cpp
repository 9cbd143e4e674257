#include "dogwoodhall/pool/Pool.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

Pool::Pool(PoolId id, PoolLimits limits, PlacementPolicy policy)
    : m_id(std::move(id))
    , m_limits(limits)
    , m_policy(std::move(policy))
{
}

PoolActions Pool::admit(const PoolRequest& request, DecisionContext context)
{
    PoolActions actions;
    if (m_endpoints.empty()) {
        actions.push_back(Refuse { request.id, ErrorKind::NoEndpoint });
        return actions;
    }
    if (auto endpoint = place(request, context)) {
        dispatch(request, *endpoint, actions);
        return actions;
    }
    if (m_queue.size() >= queueCapacity()) {
        actions.push_back(Refuse { request.id, ErrorKind::QueueFull });
        return actions;
    }
    m_queue.push_back(request);
    actions.push_back(ArmTimer { request.deadline });
    return actions;
}

PoolActions Pool::complete(RequestId id, const Completion& completion, DecisionContext context)
{
    PoolActions actions;
    auto it = m_dispatched.find(id);
    if (it == m_dispatched.end())
        return actions;
    auto endpoint = m_endpoints.find(it->second.endpoint);
    if (endpoint != m_endpoints.end()) {
        endpoint->second.reportedInUse = completion.reportedInUse;
        endpoint->second.declared.isLeaving = endpoint->second.declared.isLeaving || completion.isDraining;
    }
    release(id);
    drainQueue(context, actions);
    return actions;
}

PoolActions Pool::cancel(RequestId id, DecisionContext context)
{
    PoolActions actions;
    std::erase_if(m_queue, [&](const PoolRequest& request) { return request.id == id; });
    release(id);
    drainQueue(context, actions);
    return actions;
}

PoolActions Pool::expire(DecisionContext context)
{
    PoolActions actions;
    std::deque<PoolRequest> remaining;
    for (auto& request : m_queue) {
        if (request.deadline <= context.now)
            actions.push_back(Refuse { request.id, ErrorKind::DeadlineUnreachable });
        else
            remaining.push_back(std::move(request));
    }
    m_queue = std::move(remaining);
    if (!m_queue.empty()) {
        auto it = std::min_element(m_queue.begin(), m_queue.end(),
            [](const PoolRequest& a, const PoolRequest& b) { return a.deadline < b.deadline; });
        actions.push_back(ArmTimer { it->deadline });
    }
    return actions;
}

PoolActions Pool::reconfigure(
    const std::vector<PoolEndpoint>& endpoints, const PoolLimits& limits, DecisionContext context)
{
    m_limits = limits;
    std::map<EndpointId, Endpoint> updated;
    for (const auto& declared : endpoints) {
        auto it = m_endpoints.find(declared.id);
        Endpoint endpoint = it != m_endpoints.end() ? it->second : Endpoint {};
        endpoint.declared = declared;
        updated.emplace(declared.id, endpoint);
    }
    m_endpoints = std::move(updated);
    PoolActions actions;
    drainQueue(context, actions);
    return actions;
}

bool Pool::canTake(const Endpoint& endpoint, const PoolRequest& request) const
{
    if (endpoint.declared.isLeaving || endpoint.inUse >= endpoint.declared.slots + m_limits.allowance)
        return false;
    if (request.workClass == WorkClass::Long && endpoint.longInUse >= m_limits.longSlotsPerEndpoint)
        return false;
    return std::find(request.excluded.begin(), request.excluded.end(), endpoint.declared.id) == request.excluded.end();
}

std::optional<EndpointId> Pool::place(const PoolRequest& request, DecisionContext context) const
{
    std::vector<EndpointCandidate> candidates;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (canTake(endpoint, request))
            candidates.push_back({ id, endpoint.declared.slots, endpoint.inUse, endpoint.reportedInUse, 1 });
    }
    auto chosen = m_policy(candidates, request.workClass, context);
    if (!chosen)
        return std::nullopt;
    return candidates[*chosen].id;
}

void Pool::dispatch(const PoolRequest& request, const EndpointId& id, PoolActions& actions)
{
    Endpoint& endpoint = m_endpoints.at(id);
    endpoint.inUse += SlotCount(1);
    if (request.workClass == WorkClass::Long)
        endpoint.longInUse += SlotCount(1);
    m_dispatched.emplace(request.id, Dispatched { id, request.workClass });
    actions.push_back(Dispatch { request.id, id });
}

void Pool::release(RequestId id)
{
    auto it = m_dispatched.find(id);
    if (it == m_dispatched.end())
        return;
    auto endpoint = m_endpoints.find(it->second.endpoint);
    if (endpoint != m_endpoints.end()) {
        endpoint->second.inUse -= SlotCount(1);
        if (it->second.workClass == WorkClass::Long)
            endpoint->second.longInUse -= SlotCount(1);
    }
    m_dispatched.erase(it);
}

void Pool::drainQueue(DecisionContext context, PoolActions& actions)
{
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        auto endpoint = place(*it, context);
        if (!endpoint) {
            ++it;
            continue;
        }
        dispatch(*it, *endpoint, actions);
        it = m_queue.erase(it);
    }
}

std::size_t Pool::queueCapacity() const
{
    std::size_t slots = 0;
    for (const auto& [id, endpoint] : m_endpoints)
        slots += endpoint.declared.slots.count();
    return slots * m_limits.queuePerSlot;
}

} // namespace dogwoodhall
