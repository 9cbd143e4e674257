#pragma once

#include "dogwoodhall/dispatch/EndpointChooser.h"
#include "dogwoodhall/telemetry/EventLog.h"

namespace dogwoodhall {

// Adds the load data on which the decision about the endpoint was based.
inline void addChoice(EventLine& line, const EndpointChoice& choice)
{
    line.add("endpoint", choice.endpoint.value()).add("running", choice.load.running.count());
    line.add("waiting", choice.load.waiting.count()).add("slots", choice.load.slots.count());
    line.addNumber("slowdown", choice.load.slowdown).addMilliseconds("reportAgeMs", choice.reportAge);
    line.addNumber("chance", choice.chance).addMilliseconds("expectedMs", choice.expected);
}

} // namespace dogwoodhall
