#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// What a decision may know besides its own state and its typed input: the time, and a source of random choices.
struct DecisionContext {
    TimePoint now;
    RandomEngine& random;
};

} // namespace dogwoodhall
