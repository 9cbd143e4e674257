#pragma once

#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// What an endpoint said about its load at one moment.
struct LoadReport {
    SlotCount running;
    SlotCount waiting; // In the endpoint's own queue.
    SlotCount slots;
    double slowdown = 1; // How much longer work takes on its host at this moment than usually.

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

} // namespace dogwoodhall
