#include "dogwoodhall/request/Ticket.h"

#include <array>
#include <charconv>

namespace dogwoodhall {

namespace {

constexpr int numberBase = 16;

std::string toHex(std::uint64_t value)
{
    std::array<char, 16> buf;
    const auto result = std::to_chars(buf.data(), buf.data() + buf.size(), value, numberBase);
    return { buf.data(), result.ptr };
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, numberBase);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::string toString(const Ticket& ticket)
{
    return ticket.issuer.value() + "." + toHex(ticket.incarnation.value()) + "." + toHex(ticket.serial.value());
}

std::optional<Ticket> parseTicket(std::string_view text)
{
    // A member id may contain dots, so the numbers are parsed from the right.
    const auto serialDot = text.rfind('.');
    if (serialDot == std::string_view::npos || serialDot == 0)
        return std::nullopt;
    const auto incarnationDot = text.rfind('.', serialDot - 1);
    if (incarnationDot == std::string_view::npos || incarnationDot == 0)
        return std::nullopt;
    const auto incarnation = fromHex(text.substr(incarnationDot + 1, serialDot - incarnationDot - 1));
    const auto serial = fromHex(text.substr(serialDot + 1));
    if (!incarnation || !serial)
        return std::nullopt;
    return Ticket { MemberId(std::string(text.substr(0, incarnationDot))), Incarnation(*incarnation),
        TicketSerial(*serial) };
}

} // namespace dogwoodhall
