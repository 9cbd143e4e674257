#include "dogwoodhall/pool/Pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace dogwoodhall {

namespace {

// Weight of the newest sample in the mean time that a slot is held, which covers about the last 32 completions. A pool
// of ten slots completes as many in a few service times.
constexpr double newestWeight = 1.0 / 32;
// Minimum interval between updates of the median and the allowances, which iterate over all endpoints.
constexpr Duration medianUpdatePeriod = std::chrono::milliseconds(100);

} // namespace

Pool::Pool(PoolId id, PoolLimits limits, PlacementPolicy policy)
    : m_id(std::move(id))
    , m_limits(limits)
    , m_policy(std::move(policy))
{
}

PoolActions Pool::admit(const PoolRequest& request, DecisionContext context)
{
    assert(!m_dispatched.contains(request.id));
    PoolActions actions;
    if (!hasUsableEndpoint(request)) {
        actions.push_back(Refuse { request.id, ErrorKind::NoEndpoint });
        return actions;
    }
    if (request.deadline <= context.now) {
        actions.push_back(Refuse { request.id, ErrorKind::DeadlineUnreachable });
        return actions;
    }
    // Requests still queued after this cannot be placed now, so the new request does not overtake any.
    drainQueue(context, actions);
    if (isBlocked(request.workClass) || !tryDispatch(request, context, actions))
        enqueue(request, context.now, actions);
    armTimer(context.now, actions);
    return actions;
}

PoolActions Pool::complete(RequestId id, const Completion& completion, DecisionContext context)
{
    PoolActions actions;
    const auto dispatched = release(id);
    if (!dispatched)
        return actions;
    if (Endpoint* endpoint = find(dispatched->endpoint))
        recordCompletion(*endpoint, *dispatched, completion, context.now);
    drainQueue(context, actions);
    if (completion.isDraining)
        refuseUnplaceable(actions);
    armTimer(context.now, actions);
    return actions;
}

PoolActions Pool::cancel(RequestId id, DecisionContext context)
{
    PoolActions actions;
    if (m_queue.take(id))
        return actions;
    if (release(id)) {
        drainQueue(context, actions);
        armTimer(context.now, actions);
    }
    return actions;
}

PoolActions Pool::expire(DecisionContext context)
{
    PoolActions actions;
    m_armedAt.reset();
    drainQueue(context, actions);
    armTimer(context.now, actions);
    return actions;
}

PoolActions Pool::reconfigure(
    const std::vector<PoolEndpoint>& endpoints, const PoolLimits& limits, DecisionContext context)
{
    m_limits = limits;
    std::vector<Endpoint> updated;
    std::unordered_map<EndpointId, std::size_t> index;
    for (const auto& declared : endpoints) {
        const Endpoint* known = find(declared.id);
        Endpoint endpoint = known ? *known : Endpoint {};
        const bool isReturning = known && !declared.isLeaving && (known->declared.isLeaving || !known->isDeclared);
        if (isReturning) {
            endpoint.isKnownLeaving = false;
            endpoint.health = EndpointHealth {};
        }
        if (isReturning || (!known && m_isConfigured))
            endpoint.coldSince = context.now;
        endpoint.declared = declared;
        endpoint.isDeclared = true;
        endpoint.isKnownLeaving = endpoint.isKnownLeaving || declared.isLeaving;
        if (index.emplace(declared.id, updated.size()).second)
            updated.push_back(std::move(endpoint));
    }
    // Keeps a removed endpoint until its requests have ended, so that its count is correct if it returns.
    for (auto& endpoint : m_endpoints) {
        if (endpoint.inUse.count() == 0 || index.contains(endpoint.declared.id))
            continue;
        endpoint.isDeclared = false;
        index.emplace(endpoint.declared.id, updated.size());
        updated.push_back(std::move(endpoint));
    }
    m_endpoints = std::move(updated);
    m_index = std::move(index);
    m_isConfigured = m_isConfigured || !endpoints.empty();
    countUsableSlots();
    updateAllowances();

    PoolActions actions;
    drainQueue(context, actions);
    refuseUnplaceable(actions);
    armTimer(context.now, actions);
    return actions;
}

PoolActions Pool::setLeaving(const EndpointId& id, DecisionContext context)
{
    PoolActions actions;
    if (Endpoint* endpoint = find(id)) {
        endpoint->isKnownLeaving = true;
        countUsableSlots();
        refuseUnplaceable(actions);
        armTimer(context.now, actions);
    }
    return actions;
}

void Pool::observeLoad(const EndpointId& id, SlotCount reportedInUse, TimePoint now)
{
    Endpoint* endpoint = find(id);
    if (!endpoint)
        return;
    endpoint->reportedInUse = reportedInUse;
    endpoint->health.recordHealthAnswer(now);
}

Pool::Endpoint* Pool::find(const EndpointId& id)
{
    auto it = m_index.find(id);
    return it == m_index.end() ? nullptr : &m_endpoints[it->second];
}

std::optional<Pool::Dispatched> Pool::release(RequestId id)
{
    auto node = m_dispatched.extract(id);
    if (!node)
        return std::nullopt;
    const bool isLong = node.mapped().workClass == WorkClass::Long;
    if (isLong)
        --m_longInUse;
    Endpoint* endpoint = find(node.mapped().endpoint);
    assert(endpoint && endpoint->inUse.count() > 0);
    endpoint->inUse -= SlotCount(1);
    if (isLong)
        endpoint->longInUse -= SlotCount(1);
    return std::move(node.mapped());
}

void Pool::recordCompletion(
    Endpoint& endpoint, const Dispatched& dispatched, const Completion& completion, TimePoint now)
{
    updateMedianServiceTime(now);
    if (completion.reportedInUse)
        endpoint.reportedInUse = completion.reportedInUse;
    if (completion.isDraining && !endpoint.isKnownLeaving) {
        endpoint.isKnownLeaving = true;
        countUsableSlots();
    }
    const bool isShort = dispatched.workClass == WorkClass::Short;
    const Duration held = now - dispatched.since;
    bool shouldEject = false;
    switch (completion.result) {
    case CompletionResult::Answered: {
        Duration& mean = m_meanHeld[static_cast<std::size_t>(dispatched.workClass)];
        const double share = mean.count() == 0 ? 1 : newestWeight;
        mean += scaled(held - mean, share);
        if (!isShort)
            break;
        m_allowance.observeAnswer(held, endpoint.declared.slots, endpoint.inUse + SlotCount(1));
        const Duration serviceTime = completion.serviceTime.count() > 0 ? completion.serviceTime : held;
        shouldEject = endpoint.health.recordAnswer(serviceTime, m_medianServiceTime, now, m_limits.health);
        break;
    }
    case CompletionResult::Refused:
        endpoint.refusedAt = endpoint.inUse;
        endpoint.lastRefusal = now;
        // A refusal by a leaving endpoint is not a failure.
        shouldEject = !completion.isDraining && endpoint.health.recordFailure(m_limits.health);
        break;
    case CompletionResult::ConnectFailed:
    case CompletionResult::Failed:
    // Otherwise an endpoint that hangs while hedges are answered elsewhere would keep its share of requests and exhaust
    // the retry budget.
    case CompletionResult::LostToHedge:
        shouldEject = endpoint.health.recordFailure(m_limits.health);
        break;
    case CompletionResult::Cancelled:
        // A hung endpoint never responds: its requests end when their deadlines pass.
        if (isShort && m_medianServiceTime.count() > 0 && held > m_limits.health.slowFactor * m_medianServiceTime)
            shouldEject = endpoint.health.recordFailure(m_limits.health);
        break;
    case CompletionResult::CallerFailed:
        break;
    }
    if (shouldEject)
        eject(endpoint, now);
}

void Pool::eject(Endpoint& endpoint, TimePoint now)
{
    std::size_t usable = 0;
    std::size_t ejected = endpoint.health.state(now) == EndpointHealth::State::Serving ? 1 : 0;
    for (const auto& other : m_endpoints) {
        if (!other.isUsable())
            continue;
        ++usable;
        ejected += other.health.state(now) == EndpointHealth::State::Serving ? 0 : 1;
    }
    const double maxEjected = m_limits.maxEjectedShare.value() * static_cast<double>(usable);
    if (ejected < usable && static_cast<double>(ejected) <= maxEjected)
        endpoint.health.eject(now, m_limits.health);
    m_lastEjectionEnd = std::max(m_lastEjectionEnd, endpoint.health.ejectedUntil());
}

void Pool::countUsableSlots()
{
    m_usableSlots = 0;
    for (const auto& endpoint : m_endpoints)
        m_usableSlots += endpoint.isUsable() ? endpoint.declared.slots.count() : 0;
}

void Pool::updateMedianServiceTime(TimePoint now)
{
    if (m_medianUpdatedAt && now - *m_medianUpdatedAt < medianUpdatePeriod)
        return;
    m_medianUpdatedAt = now;
    updateAllowances();
    std::vector<Duration> means;
    for (const auto& endpoint : m_endpoints) {
        if (endpoint.health.meanServiceTime().count() > 0)
            means.push_back(endpoint.health.meanServiceTime());
    }
    if (means.empty())
        return;
    // Uses the lower median, so that one slow endpoint of two is detected.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    m_medianServiceTime = *middle;
}

void Pool::updateAllowances()
{
    for (auto& endpoint : m_endpoints)
        endpoint.allowance = m_allowance.forEndpoint(endpoint.declared.slots, m_limits.allowance);
}

SlotCount Pool::freeSlots() const
{
    SlotCount free;
    for (const auto& endpoint : m_endpoints) {
        if (endpoint.isUsable() && endpoint.inUse < endpoint.declared.slots)
            free += endpoint.declared.slots - endpoint.inUse;
    }
    return free;
}

std::set<EndpointId> Pool::ejected(TimePoint now) const
{
    std::set<EndpointId> ids;
    for (const auto& endpoint : m_endpoints) {
        if (endpoint.isUsable() && endpoint.health.state(now) != EndpointHealth::State::Serving)
            ids.insert(endpoint.declared.id);
    }
    return ids;
}

} // namespace dogwoodhall
