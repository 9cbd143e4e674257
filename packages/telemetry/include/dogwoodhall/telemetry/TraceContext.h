#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/core/StrongId.h"
#include "dogwoodhall/core/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace dogwoodhall {

using TraceId = StrongId<struct TraceTag, std::string>; // 32 lower-case hexadecimal digits.
using SpanId = StrongId<struct SpanTag, std::string>; // 16 lower-case hexadecimal digits.

// Trace context of a request as carried by the traceparent field of W3C Trace Context.
struct TraceContext {
    TraceId trace;
    SpanId span; // The sender's span, which is the parent of the receiver's span.
    bool isSampled = false;
};

// Returns nullopt if the field is malformed; the request then starts a new trace.
std::optional<TraceContext> parseTraceParent(std::string_view);

std::string toTraceParent(const TraceContext&);

SpanId newSpanId(RandomEngine&);

// Starts a new trace, sampled with the given probability.
TraceContext newTrace(Fraction sampling, RandomEngine&);

} // namespace dogwoodhall
