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
    std::string parent; // Empty for the root span of a trace.
    std::string name;
    std::string instance; // service.instance.id of its resource, which names the member.
    std::string error; // Empty if its status is not an error.
    std::string reason; // Reason for the placement; empty if the span has none.
};

// Stand-in for an OTLP collector: a server on its own thread that stores the spans of the export requests it receives.
class TraceCollector {
public:
    enum class Mode : std::uint8_t {
        Accepts, // 200
        Refuses, // 503
        NeverResponds, // Reads requests but never responds.
        Stalls, // 200, but with a body shorter than its Content-Length.
    };

    explicit TraceCollector(Mode);
    ~TraceCollector();

    const NetworkAddress& address() const;
    // Returns the spans of all well-formed requests so far, in the order of arrival.
    std::vector<CollectedSpan> spans() const;
    // Returns the number of requests other than POST /v1/traces of JSON with the fields of opentelemetry-proto.
    std::size_t malformedRequests() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dogwoodhall
