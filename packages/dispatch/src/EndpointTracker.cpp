#include "dogwoodhall/dispatch/EndpointTracker.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace dogwoodhall {

namespace {

// Weight of a result as a failure, from 0 to 1. A request that lost to its hedge may only have met a short slowdown.
double failureWeightOf(EndpointEvidence evidence)
{
    switch (evidence) {
    case EndpointEvidence::ServerError:
    case EndpointEvidence::Broken:
    case EndpointEvidence::TimedOut:
    case EndpointEvidence::Misdirected:
        return 1;
    case EndpointEvidence::LostToHedge:
        return 0.3;
    case EndpointEvidence::Served:
    case EndpointEvidence::Refused:
    case EndpointEvidence::Unrelated:
        break;
    }
    return 0;
}

bool countsAsSample(EndpointEvidence evidence)
{
    return evidence != EndpointEvidence::Unrelated && evidence != EndpointEvidence::Refused;
}

} // namespace

EndpointTracker EndpointTracker::copyFor(const DirectoryService& service) const
{
    EndpointTracker copy(m_limits);
    copy.m_coldUntil = m_coldUntil;
    for (const auto& endpoint : service.endpoints) {
        const auto it = m_entries.find(endpoint.registration->id);
        if (it != m_entries.end())
            copy.m_entries.insert(*it);
    }
    return copy;
}

void EndpointTracker::apply(const Directory& directory, TimePoint now)
{
    std::unordered_set<EndpointId> present;
    for (const auto& [id, service] : directory.services()) {
        for (const auto& endpoint : service.endpoints) {
            const auto& registration = *endpoint.registration;
            present.insert(registration.id);
            const auto [it, isNew] = m_entries.try_emplace(registration.id);
            it->second.unlistedAt.reset();
            it->second.isWarmUpLimited = service.declaration.coldRequestsPerSecond.has_value();
            applyRegistration(it->second, registration, isNew, now);
        }
    }
    for (auto& [id, entry] : m_entries) {
        if (!present.contains(id) && !entry.unlistedAt)
            unlist(entry, now);
    }
    std::erase_if(m_entries, [&](const auto& item) { return mayForget(item.second, now); });
}

void EndpointTracker::unlist(Entry& entry, TimePoint now) const
{
    EndpointState state;
    state.isLeaving = entry.state.isLeaving;
    state.restUntil = entry.state.restUntil;
    state.isOnTrial = entry.state.isOnTrial;
    entry.state = std::move(state);
    entry.isReportedCold = false;
    entry.unlistedAt = now;
}

// Without an incarnation in the entry, the next run of the endpoint could not be told from this one.
bool EndpointTracker::mayForget(const Entry& entry, TimePoint now) const
{
    if (!entry.unlistedAt)
        return false;
    const bool isWithdrawn = entry.state.isLeaving || entry.state.isOnTrial;
    return !isWithdrawn || entry.incarnation == Incarnation()
        || now - *entry.unlistedAt >= m_limits.withdrawalRetention;
}

// The same entry is applied again and again; only one that has been written anew states its warm-up once more.
void EndpointTracker::applyRegistration(
    Entry& entry, const EndpointRegistration& registration, bool isNew, TimePoint now)
{
    const bool isNewRun = isNew || entry.incarnation != registration.incarnation;
    const bool isWrittenAnew = entry.revision != registration.revision || entry.warmUpLeft != registration.warmUpLeft;
    entry.revision = registration.revision;
    entry.warmUpLeft = registration.warmUpLeft;
    if (isNewRun) {
        // A health answer of the new run may have arrived before its entry.
        const WarmUpState warmUp = entry.isWarmUpLimited ? entry.state.warmUp : WarmUpState();
        entry.state = EndpointState();
        entry.state.warmUp = warmUp;
        entry.incarnation = registration.incarnation;
        entry.hasUnreadableField = false;
    }
    if (isNewRun || (entry.isWarmUpLimited && isWrittenAnew))
        entry.state.warmUp.stateByEntry(registration.warmUpLeft, now);
    reportWarmUp(registration.id, entry, now);
}

void EndpointTracker::recordWarmUp(const EndpointId& id, Duration left, TimePoint sentAt, TimePoint now)
{
    auto* tracked = entry(id);
    if (!tracked || !tracked->isWarmUpLimited)
        return;
    tracked->state.warmUp.stateByHealthAnswer(left, sentAt, now);
    reportWarmUp(id, *tracked, now);
}

void EndpointTracker::reportWarmEndpoints(TimePoint now)
{
    if (!std::exchange(m_hasReportedCold, false))
        return;
    for (auto& [id, entry] : m_entries)
        reportWarmUp(id, entry, now);
}

void EndpointTracker::reportWarmUp(const EndpointId& id, Entry& entry, TimePoint now)
{
    const auto& warmUp = entry.state.warmUp;
    const bool isCold = entry.isWarmUpLimited && warmUp.isCold(now);
    if (isCold) {
        m_coldUntil = std::max(m_coldUntil, warmUp.coldUntil());
        m_hasReportedCold = true;
    }
    if (isCold == std::exchange(entry.isReportedCold, isCold) || !m_warmUpObserver)
        return;
    m_warmUpObserver({ id, isCold, warmUp.source(), isCold ? warmUp.coldUntil() - now : Duration::zero() });
}

bool EndpointTracker::isUsable(const EndpointId& id, TimePoint now) const
{
    const auto* state = find(id);
    return state && !state->isReplaced && !state->isLeaving && state->restUntil <= now && state->avoidedUntil <= now;
}

const EndpointState* EndpointTracker::find(const EndpointId& id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() || it->second.unlistedAt ? nullptr : &it->second.state;
}

EndpointTracker::Entry* EndpointTracker::entry(const EndpointId& id)
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() || it->second.unlistedAt ? nullptr : &it->second;
}

// An endpoint can answer after its entry has been removed, or, on another thread, before its entry was applied here.
EndpointTracker::Entry* EndpointTracker::entryToWithdraw(const EndpointId& id, Incarnation incarnation, TimePoint now)
{
    const auto [it, isNew] = m_entries.try_emplace(id);
    if (isNew) {
        it->second.incarnation = incarnation;
        it->second.unlistedAt = now;
    }
    return it->second.incarnation == incarnation ? &it->second : nullptr;
}

bool EndpointTracker::recordLeaving(const EndpointId& id, Incarnation incarnation, TimePoint now)
{
    auto* tracked = entryToWithdraw(id, incarnation, now);
    return tracked && !std::exchange(tracked->state.isLeaving, true);
}

bool EndpointTracker::recordRest(const EndpointId& id, Incarnation incarnation, Duration rest, TimePoint now)
{
    auto* tracked = rest > Duration::zero() ? entryToWithdraw(id, incarnation, now) : nullptr;
    if (!tracked)
        return false;
    auto& state = tracked->state;
    const bool begins = state.restUntil <= now;
    state.restUntil = std::max(state.restUntil, now + rest);
    state.isOnTrial = true;
    return begins;
}

bool EndpointTracker::isWithdrawn(const EndpointId& id, Incarnation incarnation, TimePoint now) const
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.incarnation != incarnation)
        return false;
    const auto& state = it->second.state;
    return state.isLeaving || state.restUntil > now;
}

bool EndpointTracker::beginProbe(const EndpointId& id, Incarnation incarnation, TimePoint now)
{
    if (isWithdrawn(id, incarnation, now))
        return false;
    auto* tracked = entry(id);
    if (!tracked || !tracked->state.isOnTrial)
        return true;
    if (now - tracked->trialProbeAt < m_limits.trialProbeInterval)
        return false;
    tracked->trialProbeAt = now;
    return true;
}

bool EndpointTracker::recordUnreadableField(const EndpointId& id)
{
    auto* tracked = entry(id);
    return tracked && !std::exchange(tracked->hasUnreadableField, true);
}

double EndpointTracker::decayedFailureShare(const EndpointState& state, TimePoint now) const
{
    const double halfLives = toSeconds(now - state.failureShareAt) / toSeconds(m_limits.failureHalfLife);
    return state.failureShare * std::exp2(-std::max(halfLives, 0.0));
}

double EndpointTracker::failureShare(const EndpointId& id, TimePoint now) const
{
    const auto* state = find(id);
    return state ? decayedFailureShare(*state, now) : 0;
}

std::optional<LoadReport> EndpointTracker::currentLoad(const EndpointId& id) const
{
    const auto* state = find(id);
    if (!state || !state->report)
        return std::nullopt;
    auto load = *state->report;
    const auto later = std::count_if(
        state->sentAt.begin(), state->sentAt.end(), [&](TimePoint at) { return at > state->reportedAt; });
    load.running += SlotCount(static_cast<std::uint64_t>(later));
    return load;
}

void EndpointTracker::recordProbeResponse(
    const EndpointId& id, const std::optional<LoadReport>& report, HealthStatus status, TimePoint sentAt)
{
    auto* tracked = entry(id);
    if (!tracked || sentAt < tracked->state.reportedAt)
        return;
    tracked->state.report = report;
    tracked->state.reportedAt = sentAt;
    tracked->state.reportsUnhealthy = status != HealthStatus::Healthy;
    tracked->state.unansweredProbes = 0;
    tracked->state.avoidedUntil = status == HealthStatus::Closing ? sentAt + m_limits.avoidDuration : TimePoint();
}

void EndpointTracker::recordUnansweredProbe(const EndpointId& id, bool onReusedConnection, TimePoint now)
{
    auto* tracked = entry(id);
    if (!tracked || onReusedConnection)
        return;
    if (++tracked->state.unansweredProbes >= m_limits.unansweredProbesToAvoid)
        tracked->state.avoidedUntil = now + m_limits.avoidDuration;
}

void EndpointTracker::markReplaced(const EndpointId& id)
{
    if (auto* tracked = entry(id))
        tracked->state.isReplaced = true;
}

void EndpointTracker::requestSent(const EndpointId& id, TimePoint now)
{
    if (auto* tracked = entry(id))
        tracked->state.sentAt.push_back(now);
}

void EndpointTracker::requestEnded(const EndpointId& id, TimePoint sentAt, EndpointEvidence evidence, TimePoint now)
{
    auto* tracked = entry(id);
    if (!tracked)
        return;
    auto& state = tracked->state;
    const auto it = std::find(state.sentAt.begin(), state.sentAt.end(), sentAt);
    if (it != state.sentAt.end())
        state.sentAt.erase(it);
    if (evidence == EndpointEvidence::Served && sentAt >= state.restUntil)
        state.isOnTrial = false;
    if (!countsAsSample(evidence))
        return;
    const double before = decayedFailureShare(state, now);
    state.failureShare = before + m_limits.failureWeight * (failureWeightOf(evidence) - before);
    state.failureShareAt = now;
    if (evidence == EndpointEvidence::Misdirected)
        state.isReplaced = true;
}

void EndpointTracker::recordReportFromResponse(const EndpointId& id, const LoadReport& report, TimePoint sentAt)
{
    auto* tracked = entry(id);
    if (!tracked || tracked->state.report)
        return;
    tracked->state.report = report;
    tracked->state.reportedAt = sentAt;
}

} // namespace dogwoodhall
