#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// Load of an endpoint as reported by itself.
struct LoadReport {
    SlotCount running;
    SlotCount waiting; // Queued at the endpoint.
    SlotCount slots;
    double slowdown = 1; // Current service time on its host relative to the usual one.

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

} // namespace dogwoodhall
