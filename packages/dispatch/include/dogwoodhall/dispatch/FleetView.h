#pragma once

#include "dogwoodhall/core/Ids.h"

#include "dogwoodhall/core/Units.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace dogwoodhall {

struct FleetMember {
    MemberId id;
    DataCentreId dataCentre;

    friend bool operator==(const FleetMember&, const FleetMember&) = default;
};

// The fleet as one member knows it. By default a fleet of one member.
struct FleetView {
    FleetMember self;
    std::vector<FleetMember> others; // Those that may be alive.
    // By which limits that hold in every short window are divided. At least the members that may be alive, this one
    // included.
    std::size_t largestSize = 1;
    // Since when no further member has become known; empty if there must be others and none is known.
    std::optional<TimePoint> stableSince = TimePoint();

    std::size_t size() const { return 1 + others.size(); }
};

} // namespace dogwoodhall
