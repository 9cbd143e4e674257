#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <vector>

namespace dogwoodhall {

struct DataCentreDeclaration {
    DataCentreId id;
    RegionId region;

    friend bool operator==(const DataCentreDeclaration&, const DataCentreDeclaration&) = default;
};

// Where the data centres lie and what crossing between them costs. One record for the whole fleet.
struct TopologyDeclaration {
    std::vector<DataCentreDeclaration> dataCentres;
    Duration delayWithinRegion = std::chrono::milliseconds(1); // One way, between data centres of a region.
    Duration delayBetweenRegions = std::chrono::milliseconds(12); // One way.
    // Traffic that one entry host may send to other regions, request and answer bodies included.
    ByteCount linkBytesPerSecond { 20'000'000 };

    friend bool operator==(const TopologyDeclaration&, const TopologyDeclaration&) = default;
};

} // namespace dogwoodhall
