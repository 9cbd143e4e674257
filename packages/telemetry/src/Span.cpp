#include "dogwoodhall/telemetry/Span.h"

#include <boost/json.hpp>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

// Values of enumerations in opentelemetry-proto.
constexpr int spanKindServer = 2;
constexpr int statusOk = 1;
constexpr int statusError = 2;

json::object attribute(const std::string& name, const std::string& value)
{
    return { { "key", name }, { "value", json::object { { "stringValue", value } } } };
}

// The JSON mapping of Protobuf encodes 64-bit integers as strings.
std::string unixNanos(std::chrono::system_clock::time_point t)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(t.time_since_epoch()).count());
}

json::object toJson(const Span& span)
{
    json::array attributes;
    for (const auto& item : span.attributes)
        attributes.push_back(attribute(item.name, item.value));
    json::object object { { "traceId", span.trace.value() }, { "spanId", span.id.value() }, { "name", span.name },
        { "kind", spanKindServer }, { "startTimeUnixNano", unixNanos(span.start) },
        { "endTimeUnixNano", unixNanos(span.end) }, { "attributes", std::move(attributes) },
        { "status", json::object { { "code", span.isError ? statusError : statusOk } } } };
    if (span.parent)
        object["parentSpanId"] = span.parent->value();
    return object;
}

} // namespace

std::string toOtlpJson(const std::vector<Span>& spans, const std::string& serviceInstance)
{
    json::array items;
    for (const auto& span : spans)
        items.push_back(toJson(span));
    const json::array resourceAttributes { attribute("service.name", "dogwoodhalld"),
        attribute("service.instance.id", serviceInstance) };
    const json::object scopeSpans { { "scope", json::object { { "name", "dogwoodhall" } } },
        { "spans", std::move(items) } };
    const json::object resourceSpans { { "resource", json::object { { "attributes", resourceAttributes } } },
        { "scopeSpans", json::array { scopeSpans } } };
    return json::serialize(json::object { { "resourceSpans", json::array { resourceSpans } } });
}

} // namespace dogwoodhall
