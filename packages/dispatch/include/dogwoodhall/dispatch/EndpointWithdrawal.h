#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <optional>

namespace dogwoodhall {

// An endpoint's statement that it leaves, or that it rests. All traffic threads of a member follow it.
struct EndpointWithdrawal {
    EndpointId endpoint;
    Incarnation incarnation;
    std::optional<TimePoint> restUntil; // Empty if it leaves.
};

} // namespace dogwoodhall
