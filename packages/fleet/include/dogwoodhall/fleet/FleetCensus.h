#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/Member.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace dogwoodhall {

struct CensusLimits {
    DataCentreId dataCentre; // Of this member.
    bool hasSeeds = false; // Other members must exist.
    // Data centres of the deployment. If other members must exist, one without any known member counts as having as
    // many as the others do on average.
    std::size_t dataCentres = 1;
    // How long members that are gone still count. They count for longer while fewer than half of the members known are
    // alive, because the network may separate the members from each other.
    Duration memory = std::chrono::seconds(60);
};

// Estimates how many members the fleet has, for limits of the whole fleet that each member keeps an equal part of
// without asking the others. An estimate that is too low lets the members spend more than the limit together, so
// members that are not heard of for a while still count, and the time of the last growth tells how far the estimate can
// be relied upon. Has no I/O.
class FleetCensus {
public:
    FleetCensus(CensusLimits, TimePoint startedAt);

    // Takes the latest claims about all other members, gone ones included.
    void observe(std::span<const Member* const> others, TimePoint now);

    // Members, this one included.
    std::size_t size() const { return m_size; }
    // When the last member became known, or this process was started. Empty while no other member is known although
    // there must be some.
    std::optional<TimePoint> stableSince() const;

private:
    struct Entry {
        DataCentreId dataCentre;
        std::optional<TimePoint> goneSince; // Empty while the member may be alive.
    };

    void forgetGoneMembers(TimePoint now);
    std::size_t estimate() const;

    CensusLimits m_limits;
    std::map<MemberId, Entry> m_others;
    TimePoint m_stableSince;
    std::size_t m_size = 1;
};

} // namespace dogwoodhall
