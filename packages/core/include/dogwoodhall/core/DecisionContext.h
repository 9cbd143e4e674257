#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// Input of a decision in addition to its own state and typed arguments: the current time and a source of randomness.
struct DecisionContext {
    TimePoint now;
    RandomEngine& random;
};

} // namespace dogwoodhall
