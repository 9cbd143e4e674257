#pragma once

#include "dogwoodhall/configuration/EndpointRegistration.h"
#include "dogwoodhall/core/Units.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace dogwoodhall {

// Endpoints whose entries vanished while the registry was away. Leases run out meanwhile, so that a missing entry says
// nothing about its endpoint until live ones have had time to register again.
class LapsedEndpoints {
public:
    explicit LapsedEndpoints(Duration grace)
        : m_grace(grace)
    {
    }

    // The registry cannot be read any more, or can be read again.
    void registryLost() { m_isAway = true; }
    void registryReturned(TimePoint now);

    // A read of the registry lacks this endpoint. True where it is kept for the grace.
    bool removed(std::shared_ptr<const EndpointRegistration>, TimePoint now);
    // The endpoint has an entry again.
    void registered(const EndpointId& id) { m_kept.erase(id); }

    std::vector<std::shared_ptr<const EndpointRegistration>> kept(TimePoint now) const;
    // When kept() changes next.
    std::optional<TimePoint> nextChange() const;
    void removeExpired(TimePoint now);

private:
    struct Kept {
        std::shared_ptr<const EndpointRegistration> registration;
        TimePoint until;
    };

    Duration m_grace;
    bool m_isAway = false;
    TimePoint m_graceUntil; // After the last return.
    std::map<EndpointId, Kept> m_kept;
};

} // namespace dogwoodhall
