#include "dogwoodhall/pool/Pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace dogwoodhall {

namespace {

// Weight of the newest sample in the mean time that a slot is held: about the last 32 completions count, which a pool
// of ten slots makes in a few service times.
constexpr double newestShare = 1.0 / 32;
// Least time between two computations of the median and of the allowances, which look at every endpoint.
constexpr Duration typicalTimePeriod = std::chrono::milliseconds(100);

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
    // What still waits after this cannot be placed now, so that the new request overtakes nothing.
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
        learn(*endpoint, *dispatched, completion, context.now);
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
        const bool comesBack = known && !declared.isLeaving && (known->declared.isLeaving || !known->isDeclared);
        if (comesBack) {
            endpoint.isKnownLeaving = false;
            endpoint.health = EndpointHealth {};
        }
        if (comesBack || (!known && m_isConfigured))
            endpoint.coldSince = context.now;
        endpoint.declared = declared;
        endpoint.isDeclared = true;
        endpoint.isKnownLeaving = endpoint.isKnownLeaving || declared.isLeaving;
        if (index.emplace(declared.id, updated.size()).second)
            updated.push_back(std::move(endpoint));
    }
    // An endpoint that is gone is kept until its requests have ended, so that its count is right if it comes back.
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

void Pool::learn(Endpoint& endpoint, const Dispatched& dispatched, const Completion& completion, TimePoint now)
{
    updateTypicalTime(now);
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
        const double share = mean.count() == 0 ? 1 : newestShare;
        mean += scaled(held - mean, share);
        if (!isShort)
            break;
        m_allowance.observeAnswer(held, endpoint.declared.slots, endpoint.inUse + SlotCount(1));
        const Duration serviceTime = completion.serviceTime.count() > 0 ? completion.serviceTime : held;
        shouldEject = endpoint.health.recordAnswer(serviceTime, m_typicalTime, now, m_limits.health);
        break;
    }
    case CompletionResult::Refused:
        endpoint.refusedAt = endpoint.inUse;
        endpoint.lastRefusal = now;
        // An endpoint that refuses because it leaves is not at fault.
        shouldEject = !completion.isDraining && endpoint.health.recordFailure(m_limits.health);
        break;
    case CompletionResult::ConnectFailed:
    case CompletionResult::Failed:
    // An endpoint that hangs while hedges answer for it would otherwise keep its share and spend the retry budget.
    case CompletionResult::Overtaken:
        shouldEject = endpoint.health.recordFailure(m_limits.health);
        break;
    case CompletionResult::Cancelled:
        // An endpoint that hangs never answers: its requests end when their deadlines pass.
        if (isShort && m_typicalTime.count() > 0 && held > m_limits.health.slowFactor * m_typicalTime)
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
    const double most = m_limits.mostEjected.value() * static_cast<double>(usable);
    if (ejected < usable && static_cast<double>(ejected) <= most)
        endpoint.health.eject(now, m_limits.health);
    m_lastEjectionEnd = std::max(m_lastEjectionEnd, endpoint.health.ejectedUntil());
}

void Pool::countUsableSlots()
{
    m_usableSlots = 0;
    for (const auto& endpoint : m_endpoints)
        m_usableSlots += endpoint.isUsable() ? endpoint.declared.slots.count() : 0;
}

void Pool::updateTypicalTime(TimePoint now)
{
    if (m_typicalTimeAt && now - *m_typicalTimeAt < typicalTimePeriod)
        return;
    m_typicalTimeAt = now;
    updateAllowances();
    std::vector<Duration> means;
    for (const auto& endpoint : m_endpoints) {
        if (endpoint.health.meanServiceTime().count() > 0)
            means.push_back(endpoint.health.meanServiceTime());
    }
    if (means.empty())
        return;
    // The lower of the two middle ones, so that one slow endpoint of two is recognised.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    m_typicalTime = *middle;
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
