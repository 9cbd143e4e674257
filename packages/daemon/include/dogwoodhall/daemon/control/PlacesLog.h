#pragma once

#include "dogwoodhall/dispatch/Directory.h"

#include <map>
#include <set>

namespace dogwoodhall {

// Logs which data centres are evacuated or no longer evacuated.
void logEvacuations(const std::set<DataCentreId>& before, const std::set<DataCentreId>& after);

// Logs for each new routing document the routes that allow regions without a data centre. `before` may be null.
void logRoutesRegions(const Directory* before, const Directory& after, const std::map<DataCentreId, RegionId>& regions);

} // namespace dogwoodhall
