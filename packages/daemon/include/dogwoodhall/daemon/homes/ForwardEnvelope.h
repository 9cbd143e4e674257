#pragma once

#include "dogwoodhall/exchange/Head.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <optional>

namespace dogwoodhall {

// What a member tells a pool's home about a request that it forwards, in fields that callers cannot set: the entry
// member has routed the request, and the home must treat it alike even while the two hold different revisions.
struct ForwardEnvelope {
    enum class Purpose {
        Forward, // Run the request.
        Permit, // Reserve a slot and name its endpoint; the sender runs the request itself.
        Ticket, // Run the request under its ticket, which the receiver issued.
    };

    Purpose purpose = Purpose::Forward;
    PoolId pool;
    Route route;
};

void writeEnvelope(const ForwardEnvelope&, HeaderFields&);

// Empty where a field is missing or malformed.
std::optional<ForwardEnvelope> readEnvelope(const HeaderFields&);

// Removes the fields that only members may set.
void removeInternalFields(HeaderFields&);

} // namespace dogwoodhall
