#pragma once

#include "dogwoodhall/core/NetworkAddress.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodhall {

// A span as the collector received it.
struct CollectedSpan {
    std::string trace;
    std::string id;
    std::string parent; // Empty for the first of a trace.
    std::string name;
    std::string instance; // service.instance.id of its resource: the member.
    std::string error; // Empty where its status is no error.
    std::string reason; // Of the placement; empty where the span has none.
};

// Stand-in for an OTLP collector: a server on a thread of its own that keeps the spans of the export requests it gets.
class TraceCollector {
public:
    enum class Mode : std::uint8_t {
        Accepts, // 200
        Refuses, // 503
        IsSilent, // Reads requests and answers none.
        Stalls, // 200, without the body that the head declares.
    };

    explicit TraceCollector(Mode);
    ~TraceCollector();

    const NetworkAddress& address() const;
    // Spans of all well-formed requests so far, in the order of arrival.
    std::vector<CollectedSpan> spans() const;
    // Requests that are no POST /v1/traces of JSON with the fields of opentelemetry-proto.
    std::size_t malformedRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dogwoodhall
