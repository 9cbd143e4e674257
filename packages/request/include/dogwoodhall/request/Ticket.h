#pragma once

#include "dogwoodhall/core/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

using TicketSerial = StrongId<struct TicketSerialTag, std::uint64_t>;

// An idempotency key issued by one running process. A later run of the same member has another incarnation and does not
// recognise it.
struct Ticket {
    MemberId issuer;
    Incarnation incarnation;
    TicketSerial serial;

    friend bool operator==(const Ticket&, const Ticket&) = default;
};

// Format: "<member>.<incarnation>.<serial>", with numbers in hexadecimal.
std::string toString(const Ticket&);
std::optional<Ticket> parseTicket(std::string_view);

} // namespace dogwoodhall
