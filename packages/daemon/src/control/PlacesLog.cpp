#include "dogwoodhall/daemon/control/PlacesLog.h"

#include "dogwoodhall/telemetry/Logging.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

void logUnknownRegions(const RouteDeclaration& route, const std::map<DataCentreId, RegionId>& regions)
{
    for (const auto& allowed : route.allowedRegions) {
        const bool isKnown = std::any_of(
            regions.begin(), regions.end(), [&](const auto& dataCentre) { return dataCentre.second == allowed; });
        if (!isKnown)
            DOGWOODHALL_LOG(config, warning)
                << "Route " << route.id << " allows region " << allowed << ", which has no data centre.";
    }
}

} // namespace

void logEvacuations(const std::set<DataCentreId>& before, const std::set<DataCentreId>& after)
{
    for (const auto& dataCentre : after) {
        if (!before.contains(dataCentre))
            DOGWOODHALL_LOG(config, warning) << "Data centre " << dataCentre << " is being evacuated.";
    }
    for (const auto& dataCentre : before) {
        if (!after.contains(dataCentre))
            DOGWOODHALL_LOG(config, info) << "Data centre " << dataCentre << " is no longer being evacuated.";
    }
}

void logRoutesRegions(const Directory* before, const Directory& after, const std::map<DataCentreId, RegionId>& regions)
{
    if (before && before->version() == after.version())
        return;
    for (const auto& route : after.routes())
        logUnknownRegions(route, regions);
}

} // namespace dogwoodhall
