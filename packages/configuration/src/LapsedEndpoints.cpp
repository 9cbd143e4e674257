#include "dogwoodhall/configuration/LapsedEndpoints.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

void LapsedEndpoints::registryReturned(TimePoint now)
{
    if (std::exchange(m_isRegistryUnavailable, false))
        m_graceUntil = now + m_grace;
}

bool LapsedEndpoints::removed(std::shared_ptr<const EndpointRegistration> registration, TimePoint now)
{
    // An endpoint that has announced that it leaves is not expected to register again.
    if (now >= m_graceUntil || registration->isLeaving)
        return false;
    const auto id = registration->id;
    m_retained[id] = { std::move(registration), m_graceUntil };
    return true;
}

std::vector<std::shared_ptr<const EndpointRegistration>> LapsedEndpoints::retained(TimePoint now) const
{
    std::vector<std::shared_ptr<const EndpointRegistration>> registrations;
    for (const auto& [id, it] : m_retained) {
        if (it.until > now)
            registrations.push_back(it.registration);
    }
    return registrations;
}

std::optional<TimePoint> LapsedEndpoints::nextChange() const
{
    std::optional<TimePoint> next;
    for (const auto& [id, it] : m_retained)
        next = next ? std::min(*next, it.until) : it.until;
    return next;
}

void LapsedEndpoints::removeExpired(TimePoint now)
{
    std::erase_if(m_retained, [&](const auto& item) { return item.second.until <= now; });
}

} // namespace dogwoodhall
