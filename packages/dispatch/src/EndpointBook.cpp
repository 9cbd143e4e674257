#include "dogwoodhall/dispatch/EndpointBook.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace dogwoodhall {

namespace {

// How much a result counts as a failure, from 0 to 1. An overtaken request may have met a slow spell only.
double failureValue(EndpointEvidence evidence)
{
    switch (evidence) {
    case EndpointEvidence::ServerError:
    case EndpointEvidence::Broken:
    case EndpointEvidence::Silent:
    case EndpointEvidence::Misdirected:
        return 1;
    case EndpointEvidence::Overtaken:
        return 0.3;
    case EndpointEvidence::Served:
    case EndpointEvidence::Refused:
    case EndpointEvidence::Unrelated:
        break;
    }
    return 0;
}

bool isEvidence(EndpointEvidence evidence)
{
    return evidence != EndpointEvidence::Unrelated && evidence != EndpointEvidence::Refused;
}

} // namespace

void EndpointBook::apply(const Directory& directory, TimePoint now)
{
    std::unordered_set<EndpointId> present;
    for (const auto& [id, service] : directory.services()) {
        for (const auto& endpoint : service.endpoints) {
            const auto& registration = *endpoint.registration;
            present.insert(registration.id);
            const auto [it, isNew] = m_entries.try_emplace(registration.id);
            if (!isNew && it->second.incarnation == registration.incarnation)
                continue;
            it->second = Entry { registration.incarnation, {} };
            it->second.belief.coldUntil = now + registration.warmUpLeft;
        }
    }
    std::erase_if(m_entries, [&](const auto& item) { return !present.contains(item.first); });
}

bool EndpointBook::isUsable(const EndpointId& id, TimePoint now) const
{
    const auto* belief = find(id);
    return belief && !belief->isGone && belief->avoidedUntil <= now;
}

const EndpointBelief* EndpointBook::find(const EndpointId& id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.belief;
}

EndpointBook::Entry* EndpointBook::entry(const EndpointId& id)
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

double EndpointBook::faded(const EndpointBelief& belief, TimePoint now) const
{
    const double halfLives = toSeconds(now - belief.failureAt) / toSeconds(m_limits.failureHalfLife);
    return belief.failureShare * std::exp2(-std::max(halfLives, 0.0));
}

double EndpointBook::failureShare(const EndpointId& id, TimePoint now) const
{
    const auto* belief = find(id);
    return belief ? faded(*belief, now) : 0;
}

std::optional<LoadReport> EndpointBook::currentLoad(const EndpointId& id) const
{
    const auto* belief = find(id);
    if (!belief || !belief->report)
        return std::nullopt;
    auto load = *belief->report;
    const auto later = std::count_if(
        belief->sentAt.begin(), belief->sentAt.end(), [&](TimePoint at) { return at > belief->reportedAt; });
    load.running += SlotCount(static_cast<std::uint64_t>(later));
    return load;
}

void EndpointBook::healthAnswered(
    const EndpointId& id, const std::optional<LoadReport>& report, HealthWord word, TimePoint sentAt)
{
    auto* known = entry(id);
    if (!known || sentAt < known->belief.reportedAt)
        return;
    known->belief.report = report;
    known->belief.reportedAt = sentAt;
    known->belief.saysUnhealthy = word != HealthWord::Healthy;
    known->belief.silentCalls = 0;
    known->belief.avoidedUntil = word == HealthWord::Closing ? sentAt + m_limits.avoidance : TimePoint();
}

void EndpointBook::healthUnanswered(const EndpointId& id, bool onReusedConnection, TimePoint now)
{
    auto* known = entry(id);
    if (!known || onReusedConnection)
        return;
    if (++known->belief.silentCalls >= m_limits.silentCallsToAvoid)
        known->belief.avoidedUntil = now + m_limits.avoidance;
}

void EndpointBook::foundGone(const EndpointId& id)
{
    if (auto* known = entry(id))
        known->belief.isGone = true;
}

void EndpointBook::requestSent(const EndpointId& id, TimePoint now)
{
    if (auto* known = entry(id))
        known->belief.sentAt.push_back(now);
}

void EndpointBook::requestEnded(const EndpointId& id, TimePoint sentAt, EndpointEvidence evidence, TimePoint now)
{
    auto* known = entry(id);
    if (!known)
        return;
    auto& belief = known->belief;
    const auto it = std::find(belief.sentAt.begin(), belief.sentAt.end(), sentAt);
    if (it != belief.sentAt.end())
        belief.sentAt.erase(it);
    if (!isEvidence(evidence))
        return;
    const double before = faded(belief, now);
    belief.failureShare = before + m_limits.failureWeight * (failureValue(evidence) - before);
    belief.failureAt = now;
    if (evidence == EndpointEvidence::Misdirected)
        belief.isGone = true;
}

void EndpointBook::reportedWithAnswer(const EndpointId& id, const LoadReport& report, TimePoint sentAt)
{
    auto* known = entry(id);
    if (!known || known->belief.report)
        return;
    known->belief.report = report;
    known->belief.reportedAt = sentAt;
}

} // namespace dogwoodhall
