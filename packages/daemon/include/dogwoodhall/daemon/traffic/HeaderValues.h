#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/exchange/Head.h"

#include <optional>

namespace dogwoodhall {

// Parses a positive whole number of milliseconds. Empty if the field is missing or malformed.
std::optional<Duration> durationField(const HeaderFields&, std::string_view name);

// Parses a non-negative whole number of microseconds. Empty if the field is missing or malformed.
std::optional<Duration> microsecondsField(const HeaderFields&, std::string_view name);
void setMicroseconds(HeaderFields&, std::string_view name, Duration);

// Parses a non-negative whole number of slots. Empty if the field is missing or malformed.
std::optional<SlotCount> slotField(const HeaderFields&, std::string_view name);

// The Host field without its port.
std::string_view hostNameOf(const RequestHead&);

// The request target without its query.
std::string_view pathOf(std::string_view target);

} // namespace dogwoodhall
