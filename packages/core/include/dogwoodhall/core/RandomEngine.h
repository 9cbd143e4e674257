#pragma once

#include <random>

namespace dogwoodhall {

// Passed into every decision that draws a random choice, so that a run can be replayed from its seed.
using RandomEngine = std::mt19937_64;

} // namespace dogwoodhall
