#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"

namespace dogwoodhall {

// What an endpoint says of itself in the platform's registry.
struct EndpointRegistration {
    EndpointId id;
    ServiceId service;
    DataCentreId dataCentre;
    NetworkAddress address;
    SlotCount slots { 1 }; // Requests it runs at the same time.
    bool isLeaving = false; // Takes no new work and will end.
    Duration warmUpLeft {}; // How much longer it is slow after its start, when it wrote this.
    // Of its present run. A run under the same id as an earlier one knows nothing of that.
    Incarnation incarnation;

    friend bool operator==(const EndpointRegistration&, const EndpointRegistration&) = default;
};

} // namespace dogwoodhall
