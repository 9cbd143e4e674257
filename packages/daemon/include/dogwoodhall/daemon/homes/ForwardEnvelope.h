#pragma once

#include "dogwoodhall/exchange/Head.h"
#include "dogwoodhall/routing/RouteTable.h"

#include <optional>

namespace dogwoodhall {

// Routing metadata that a member sends to a pool's home with a forwarded request, in headers that callers cannot set.
// The entry member has already routed the request; the home must apply the same route even if it holds a different
// configuration revision.
struct ForwardEnvelope {
    enum class Purpose {
        Forward, // Run the request.
        Permit, // Reserve a slot and return its endpoint; the sender runs the request itself.
        Ticket, // Run the request under its ticket, which was issued by the receiver.
    };

    Purpose purpose = Purpose::Forward;
    PoolId pool;
    Route route;
};

void writeEnvelope(const ForwardEnvelope&, HeaderFields&);

// Empty if a required header is missing or malformed.
std::optional<ForwardEnvelope> readEnvelope(const HeaderFields&);

// Removes the headers that only members may set.
void removeInternalFields(HeaderFields&);

} // namespace dogwoodhall
