#include "dogwoodhall/dispatch/EndpointEligibility.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

bool isRestricted(const RouteDeclaration* route) { return route && !route->allowedRegions.empty(); }

bool allows(const RouteDeclaration* route, const RegionId* region)
{
    if (!isRestricted(route))
        return true;
    const auto& allowed = route->allowedRegions;
    return region && std::find(allowed.begin(), allowed.end(), *region) != allowed.end();
}

} // namespace

std::string_view toString(Exclusion exclusion)
{
    switch (exclusion) {
    case Exclusion::None:
        return "none";
    case Exclusion::AlreadyTried:
        return "already-tried";
    case Exclusion::Unregistered:
        return "unregistered";
    case Exclusion::Unreachable:
        return "unreachable";
    case Exclusion::OutsideAllowedRegions:
        return "outside-allowed-regions";
    case Exclusion::Evacuated:
        return "evacuated";
    case Exclusion::Leaving:
        return "leaving";
    case Exclusion::Resting:
        return "resting";
    case Exclusion::WarmUpLimit:
        break;
    }
    return "warm-up-limit";
}

Exclusion EndpointEligibility::exclusionOf(
    const EndpointQuery& query, const DirectoryEndpoint& endpoint, TimePoint now) const
{
    const auto& id = endpoint.registration->id;
    if (std::find(query.tried.begin(), query.tried.end(), id) != query.tried.end())
        return Exclusion::AlreadyTried;
    const auto* state = m_tracker.find(id);
    if (!state || state->isReplaced)
        return Exclusion::Unregistered;
    if (state->isLeaving)
        return Exclusion::Leaving;
    const auto& dataCentre = endpoint.registration->dataCentre;
    if (m_directory && !m_directory->evacuated().empty() && m_directory->evacuated().contains(dataCentre))
        return Exclusion::Evacuated;
    // Both bind: a newer declaration may forbid what the one of the admission allowed.
    if (isRestricted(query.route) || isRestricted(query.latestRoute)) {
        const auto* region = m_directory ? m_directory->regionOf(dataCentre) : nullptr;
        if (!allows(query.route, region) || !allows(query.latestRoute, region))
            return Exclusion::OutsideAllowedRegions;
    }
    if (state->restUntil > now || (state->isOnTrial && !state->sentAt.empty()))
        return Exclusion::Resting;
    if (state->avoidedUntil > now)
        return Exclusion::Unreachable;
    if (state->warmUp.isCold(now) && !m_warmUp.maySend(serviceOf(query), *endpoint.registration, now))
        return Exclusion::WarmUpLimit;
    return Exclusion::None;
}

const UpstreamDeclaration& EndpointEligibility::serviceOf(const EndpointQuery& query) const
{
    const auto& admitted = query.service->declaration;
    const auto* current = m_directory ? m_directory->service(admitted.id) : nullptr;
    return current ? current->declaration : admitted;
}

bool EndpointEligibility::isDueForWarmUp(
    const EndpointQuery& query, const DirectoryEndpoint& endpoint, TimePoint now) const
{
    const auto* state = m_tracker.find(endpoint.registration->id);
    return state && state->warmUp.isCold(now) && m_warmUp.isDue(serviceOf(query), *endpoint.registration, now);
}

bool EndpointEligibility::meetsWarmUpLimit(const EndpointQuery& query, TimePoint now) const
{
    const auto& endpoints = query.service->endpoints;
    return std::any_of(endpoints.begin(), endpoints.end(),
        [&](const DirectoryEndpoint& endpoint) { return exclusionOf(query, endpoint, now) == Exclusion::WarmUpLimit; });
}

std::optional<Duration> EndpointEligibility::restLeft(const EndpointQuery& query, TimePoint now) const
{
    auto untried = query;
    untried.tried.clear();
    std::optional<TimePoint> soonest;
    for (const auto& endpoint : query.service->endpoints) {
        const auto exclusion = exclusionOf(untried, endpoint, now);
        if (exclusion == Exclusion::None || exclusion == Exclusion::WarmUpLimit)
            return std::nullopt;
        if (exclusion != Exclusion::Resting)
            continue;
        const auto restUntil = m_tracker.find(endpoint.registration->id)->restUntil;
        soonest = std::min(soonest.value_or(restUntil), restUntil);
    }
    if (!soonest)
        return std::nullopt;
    return std::max<Duration>(*soonest - now, Duration::zero());
}

ExclusionCounts EndpointEligibility::countExclusions(const EndpointQuery& query, TimePoint now) const
{
    ExclusionCounts counts;
    for (const auto& endpoint : query.service->endpoints) {
        const auto exclusion = exclusionOf(query, endpoint, now);
        if (exclusion != Exclusion::None)
            ++counts[exclusion];
    }
    return counts;
}

} // namespace dogwoodhall
