#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <optional>
#include <vector>

namespace dogwoodhall {

struct DataCentreDeclaration {
    DataCentreId id;
    RegionId region;

    friend bool operator==(const DataCentreDeclaration&, const DataCentreDeclaration&) = default;
};

// The regions of the data centres, and the delays and bandwidth between them. One record for the whole fleet.
struct TopologyDeclaration {
    std::vector<DataCentreDeclaration> dataCentres;
    Duration delayWithinRegion = std::chrono::milliseconds(1); // One way, between data centres of a region.
    Duration delayBetweenRegions = std::chrono::milliseconds(12); // One way.
    // Traffic that one entry host may send to other regions, request and answer bodies included.
    ByteCount linkBytesPerSecond { 20'000'000 };

    // Empty for a data centre that is not listed.
    std::optional<RegionId> regionOf(const DataCentreId& id) const
    {
        for (const auto& dataCentre : dataCentres) {
            if (dataCentre.id == id)
                return dataCentre.region;
        }
        return std::nullopt;
    }

    friend bool operator==(const TopologyDeclaration&, const TopologyDeclaration&) = default;
};

} // namespace dogwoodhall
