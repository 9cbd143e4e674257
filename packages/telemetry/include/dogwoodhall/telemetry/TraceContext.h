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

// The position of a request in its trace, as W3C Trace Context's traceparent field carries it.
struct TraceContext {
    TraceId trace;
    SpanId span; // The sender's span: parent of the next one.
    bool isSampled = false;
};

// Empty where the field is malformed; the request then starts a trace of its own.
std::optional<TraceContext> parseTraceParent(std::string_view);

std::string toTraceParent(const TraceContext&);

SpanId newSpanId(RandomEngine&);

// A new trace, sampled with the given probability.
TraceContext newTrace(Fraction sampling, RandomEngine&);

} // namespace dogwoodhall
