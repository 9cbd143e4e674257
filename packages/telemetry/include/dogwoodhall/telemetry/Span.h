#pragma once

#include "dogwoodhall/telemetry/TraceContext.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall {

struct SpanAttribute {
    std::string name;
    std::string value;
};

// One hop of a request: entry, queue, peer or upstream attempt.
struct Span {
    TraceId trace;
    SpanId id;
    std::optional<SpanId> parent;
    std::string name;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    bool isError = false;
    std::vector<SpanAttribute> attributes;
};

// Returns the OTLP JSON body of an export request (opentelemetry-proto, trace service).
std::string toOtlpJson(const std::vector<Span>&, const std::string& serviceInstance);

} // namespace dogwoodhall
