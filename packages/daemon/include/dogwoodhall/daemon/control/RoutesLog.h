#pragma once

#include "dogwoodhall/dispatch/Directory.h"
#include "dogwoodhall/telemetry/EventLog.h"

#include <optional>

namespace dogwoodhall {

// Line about the routes that a new routing document adds and removes, by host name and path prefix. Empty if it is the
// same document. `before` may be null.
std::optional<EventLine> describeRouteChanges(const Directory* before, const Directory& after);

} // namespace dogwoodhall
