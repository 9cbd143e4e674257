#include "dogwoodhall/pool/Pool.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

constexpr double initialColdShare = 0.1;
// Endpoints with a lower weight get no allowance.
constexpr double minWeightForAllowance = 0.75;
// Maximum number of requests in a lane that are skipped per decision because they exclude the free endpoints.
constexpr unsigned maxSkipped = 32;

} // namespace

double Pool::coldShare(const Endpoint& endpoint, TimePoint now) const
{
    if (!endpoint.coldSince || now - *endpoint.coldSince >= m_limits.coldRamp)
        return 1;
    const double share = toSeconds(now - *endpoint.coldSince) / toSeconds(m_limits.coldRamp);
    return std::max(initialColdShare, share);
}

std::uint64_t Pool::limitOf(const Endpoint& endpoint, TimePoint now) const
{
    const std::uint64_t slots = endpoint.declared.slots.count();
    const double cold = coldShare(endpoint, now);
    const double weight = cold * endpoint.health.weight(m_medianServiceTime);
    auto limit = static_cast<std::uint64_t>(std::lround(static_cast<double>(slots) * weight));
    limit = std::max<std::uint64_t>(limit, 1);
    // No allowance if long work holds every slot: a short request there would wait for long work to finish.
    if (cold >= 1 && weight >= minWeightForAllowance && endpoint.longInUse.count() < slots)
        limit += endpoint.allowance.count();
    if (endpoint.refusedAt) {
        const auto recovered = static_cast<std::uint64_t>((now - endpoint.lastRefusal) / m_limits.refusalRecovery);
        limit = std::min(limit, std::max<std::uint64_t>(endpoint.refusedAt->count(), 1) + recovered);
    }
    return limit;
}

bool Pool::isExcluded(const Endpoint& endpoint, const PoolRequest& request) const
{
    return std::find(request.excluded.begin(), request.excluded.end(), endpoint.declared.id) != request.excluded.end();
}

bool Pool::canTake(const Endpoint& endpoint, const PoolRequest& request, bool mayUseEjected, TimePoint now) const
{
    if (!endpoint.isUsable() || endpoint.inUse >= endpoint.declared.slots + endpoint.allowance)
        return false;
    if (endpoint.inUse.count() >= limitOf(endpoint, now))
        return false;
    const auto state = endpoint.health.state(now);
    if (state == EndpointHealth::State::Ejected && !mayUseEjected)
        return false;
    const bool mayProbe = request.isIdempotent || endpoint.health.acceptsAnyProbe();
    if (state == EndpointHealth::State::Probing && (endpoint.inUse.count() > 0 || !mayProbe) && !mayUseEjected)
        return false;
    if (request.workClass == WorkClass::Long
        && (endpoint.longInUse >= m_limits.longSlotsPerEndpoint || m_longInUse >= longLimit()))
        return false;
    return !isExcluded(endpoint, request);
}

bool Pool::hasUsableEndpoint(const PoolRequest& request) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(),
        [&](const Endpoint& endpoint) { return endpoint.isUsable() && !isExcluded(endpoint, request); });
}

bool Pool::hasServingEndpoint(const PoolRequest& request, TimePoint now) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const Endpoint& endpoint) {
        return endpoint.isUsable() && endpoint.health.state(now) == EndpointHealth::State::Serving
            && !isExcluded(endpoint, request);
    });
}

std::uint64_t Pool::longLimit() const
{
    const auto share = m_limits.longWorkShare.value() * static_cast<double>(m_usableSlots);
    return std::max<std::uint64_t>(static_cast<std::uint64_t>(share), 1);
}

std::size_t Pool::queueCapacity(WorkClass workClass) const
{
    return (workClass == WorkClass::Long ? longLimit() : m_usableSlots) * m_limits.queuePerSlot;
}

Duration Pool::meanHeld(WorkClass workClass) const { return m_meanHeld[static_cast<std::size_t>(workClass)]; }

// Little's law: the wait is the mean time held times the number of queued requests, divided by the concurrency of the
// pool's endpoints.
Duration Pool::expectedWait(WorkClass workClass, Priority priority, TimePoint now) const
{
    const PoolRequest probe { RequestId(0), workClass, priority, TimePoint::max(), {}, true };
    std::size_t ahead = m_queue.lane(workClass, Priority::Normal).size();
    if (priority == Priority::Low)
        ahead += m_queue.lane(workClass, Priority::Low).size();
    bool isUsable = false;
    bool hasRoom = false;
    const bool mayUseEjected = !hasServingEndpoint(probe, now);
    double concurrency = 0;
    for (const auto& endpoint : m_endpoints) {
        if (!endpoint.isUsable())
            continue;
        isUsable = true;
        hasRoom = hasRoom || canTake(endpoint, probe, mayUseEjected, now);
        if (mayUseEjected || endpoint.health.state(now) == EndpointHealth::State::Serving)
            concurrency += static_cast<double>(limitOf(endpoint, now));
    }
    if (!isUsable)
        return Duration::max();
    if (ahead == 0 && hasRoom)
        return Duration::zero();
    if (workClass == WorkClass::Long)
        concurrency = std::min(concurrency, static_cast<double>(longLimit()));
    else
        concurrency -= static_cast<double>(m_longInUse);
    return scaled(meanHeld(workClass), static_cast<double>(ahead + 1) / std::max(concurrency, 1.0));
}

void Pool::collectCandidates(const PoolRequest& request, bool mayUseEjected, TimePoint now)
{
    m_candidateIndices.clear();
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        if (canTake(m_endpoints[n], request, mayUseEjected, now))
            m_candidateIndices.push_back(n);
    }
    // Assigns in place to reuse the storage of the ids.
    m_candidates.resize(m_candidateIndices.size());
    for (std::size_t n = 0; n < m_candidateIndices.size(); ++n) {
        const Endpoint& endpoint = m_endpoints[m_candidateIndices[n]];
        m_candidates[n].id = endpoint.declared.id;
        m_candidates[n].slots = endpoint.declared.slots;
        m_candidates[n].inUse = endpoint.inUse;
        m_candidates[n].reportedInUse = endpoint.reportedInUse;
        m_candidates[n].weight = coldShare(endpoint, now) * endpoint.health.weight(m_medianServiceTime);
    }
}

bool Pool::tryDispatch(const PoolRequest& request, DecisionContext context, PoolActions& actions)
{
    collectCandidates(request, !hasServingEndpoint(request, context.now), context.now);
    if (m_candidates.empty())
        return false;
    // An endpoint that is due for a probe gets this request; its weight alone would rarely have it chosen.
    for (const std::size_t index : m_candidateIndices) {
        Endpoint& endpoint = m_endpoints[index];
        if (endpoint.health.state(context.now) == EndpointHealth::State::Probing && endpoint.inUse.count() == 0) {
            dispatch(request, endpoint, context.now, actions);
            return true;
        }
    }
    const auto chosen = m_policy(m_candidates, request.workClass, context);
    if (!chosen)
        return false;
    dispatch(request, m_endpoints[m_candidateIndices[*chosen]], context.now, actions);
    return true;
}

void Pool::dispatch(const PoolRequest& request, Endpoint& endpoint, TimePoint now, PoolActions& actions)
{
    endpoint.inUse += SlotCount(1);
    if (request.workClass == WorkClass::Long) {
        endpoint.longInUse += SlotCount(1);
        ++m_longInUse;
    }
    m_dispatched.emplace(request.id, Dispatched { endpoint.declared.id, request.workClass, now });
    actions.push_back(Dispatch { request.id, endpoint.declared.id });
}

void Pool::enqueue(const PoolRequest& request, TimePoint now, PoolActions& actions)
{
    const auto refuse = [&](RequestId id, ErrorKind kind) { actions.push_back(Refuse { id, kind }); };
    Duration wait = expectedWait(request.workClass, request.priority, now);
    // The start of a long response does not depend on how long the whole response takes.
    if (request.workClass == WorkClass::Short)
        wait += meanHeld(WorkClass::Short);
    if (request.deadline - now < wait)
        return refuse(request.id, ErrorKind::DeadlineUnreachable);
    const std::size_t capacity = queueCapacity(request.workClass);
    const std::size_t waiting = m_queue.size(request.workClass);
    if (request.priority == Priority::Low
        && static_cast<double>(waiting) >= m_limits.lowPriorityQueueShare.value() * static_cast<double>(capacity))
        return refuse(request.id, ErrorKind::QueueFull);
    if (waiting >= capacity) {
        const auto displaced = m_queue.takeNewestLow(request.workClass);
        if (!displaced)
            return refuse(request.id, ErrorKind::QueueFull);
        refuse(displaced->id, ErrorKind::QueueFull);
    }
    m_queue.push(request);
}

bool Pool::isBlocked(WorkClass workClass) const
{
    const auto blocks
        = [](const WaitQueue::Lane& lane) { return !lane.empty() && lane.begin()->second.excluded.empty(); };
    return blocks(m_queue.lane(workClass, Priority::Normal)) || blocks(m_queue.lane(workClass, Priority::Low));
}

bool Pool::dispatchFrom(const WaitQueue::Lane& lane, DecisionContext context, PoolActions& actions)
{
    unsigned skipped = 0;
    for (const auto& [serial, request] : lane) {
        if (tryDispatch(request, context, actions)) {
            m_queue.take(request.id);
            return true;
        }
        // If a request that excludes no endpoint cannot be placed, no other request of its class can.
        if (request.excluded.empty() || ++skipped >= maxSkipped)
            return false;
    }
    return false;
}

bool Pool::dispatchNext(Priority priority, DecisionContext context, PoolActions& actions)
{
    const auto* first = &m_queue.lane(WorkClass::Short, priority);
    const auto* second = &m_queue.lane(WorkClass::Long, priority);
    if (!second->empty() && (first->empty() || second->begin()->first < first->begin()->first))
        std::swap(first, second);
    return dispatchFrom(*first, context, actions) || dispatchFrom(*second, context, actions);
}

void Pool::drainQueue(DecisionContext context, PoolActions& actions)
{
    for (const auto& request : m_queue.takeExpired(context.now))
        actions.push_back(Refuse { request.id, ErrorKind::DeadlineUnreachable });
    while (!m_queue.empty()
        && (dispatchNext(Priority::Normal, context, actions) || dispatchNext(Priority::Low, context, actions))) { }
}

void Pool::refuseUnplaceable(PoolActions& actions)
{
    std::vector<RequestId> unplaceable;
    for (const auto workClass : { WorkClass::Short, WorkClass::Long }) {
        for (const auto priority : { Priority::Normal, Priority::Low }) {
            for (const auto& [serial, request] : m_queue.lane(workClass, priority)) {
                if (!hasUsableEndpoint(request))
                    unplaceable.push_back(request.id);
            }
        }
    }
    for (const RequestId id : unplaceable) {
        m_queue.take(id);
        actions.push_back(Refuse { id, ErrorKind::NoEndpoint });
    }
}

// Only rearms for an earlier time: a timer that fires early is rearmed by expire().
void Pool::armTimer(TimePoint now, PoolActions& actions)
{
    auto wakeAt = m_queue.earliestDeadline();
    if (!wakeAt)
        return;
    for (const auto& endpoint : m_endpoints) {
        if (now >= m_lastEjectionEnd)
            break;
        if (endpoint.isUsable() && endpoint.health.state(now) == EndpointHealth::State::Ejected)
            wakeAt = std::min(*wakeAt, endpoint.health.ejectedUntil());
    }
    if (*wakeAt == TimePoint::max() || (m_armedAt && *m_armedAt <= *wakeAt))
        return;
    m_armedAt = wakeAt;
    actions.push_back(ArmTimer { *wakeAt });
}

} // namespace dogwoodhall
