#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <optional>

namespace dogwoodhall {

// The entry that an endpoint publishes about itself in the platform's registry.
struct EndpointRegistration {
    EndpointId id;
    ServiceId service;
    DataCentreId dataCentre;
    NetworkAddress address;
    SlotCount slots { 1 }; // Requests that it runs concurrently.
    bool isLeaving = false; // Accepts no new work and is about to stop.
    Duration warmUpLeft {}; // Remaining warm-up time, during which it is slow, when it wrote the entry.
    // Of its current run. A run under the same id as an earlier one has none of its state.
    Incarnation incarnation;
    std::optional<std::uint64_t> sequence; // Raised with each entry of the run; empty if it does not say.
    Revision revision; // Of the entry; the same until it is written again.

    friend bool operator==(const EndpointRegistration&, const EndpointRegistration&) = default;
};

} // namespace dogwoodhall
