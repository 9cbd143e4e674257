#pragma once

#include <random>

namespace dogwoodhall {

// Passed to every decision that makes a random choice, so that a run can be replayed from its seed.
using RandomEngine = std::mt19937_64;

} // namespace dogwoodhall
