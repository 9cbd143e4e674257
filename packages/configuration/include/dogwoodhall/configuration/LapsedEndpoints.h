#pragma once

#include "dogwoodhall/configuration/EndpointRegistration.h"
#include "dogwoodhall/core/Units.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace dogwoodhall {

// Endpoints whose entries disappeared while the registry was unavailable. Leases expire during an outage, so a missing
// entry proves nothing about its endpoint until live endpoints have had time to register again.
class LapsedEndpoints {
public:
    explicit LapsedEndpoints(Duration grace)
        : m_grace(grace)
    {
    }

    // The registry has become unreadable, or is readable again.
    void registryLost() { m_isRegistryUnavailable = true; }
    void registryReturned(TimePoint now);

    // The endpoint is missing from a read of the registry. Returns whether it is retained for the grace period.
    bool removed(std::shared_ptr<const EndpointRegistration>, TimePoint now);
    // The endpoint has an entry again.
    void registered(const EndpointId& id) { m_retained.erase(id); }

    std::vector<std::shared_ptr<const EndpointRegistration>> retained(TimePoint now) const;
    // Time of the next change of retained().
    std::optional<TimePoint> nextChange() const;
    void removeExpired(TimePoint now);

private:
    struct Retained {
        std::shared_ptr<const EndpointRegistration> registration;
        TimePoint until;
    };

    Duration m_grace;
    bool m_isRegistryUnavailable = false;
    TimePoint m_graceUntil; // End of the grace period after the last outage.
    std::map<EndpointId, Retained> m_retained;
};

} // namespace dogwoodhall
