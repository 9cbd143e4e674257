#pragma once

#include "dogwoodhall/core/Ids.h"

namespace dogwoodhall {

// Operators evacuate a data centre: while the declaration exists, nothing new is sent to its endpoints.
struct EvacuationDeclaration {
    DataCentreId dataCentre;

    friend bool operator==(const EvacuationDeclaration&, const EvacuationDeclaration&) = default;
};

} // namespace dogwoodhall
