#include "dogwoodhall/daemon/traffic/RequestTrace.h"

#include <utility>

namespace dogwoodhall {

RequestTrace::RequestTrace(
    const HeaderFields& headerFields, Fraction sampling, RandomEngine& random, const SpanSink& sink)
    : m_random(random)
    , m_sink(sink)
{
    auto received = parseTraceParent(headerFields.find(fields::traceParent).value_or(""));
    m_hasParent = received.has_value();
    m_context = received ? *received : newTrace(sampling, random);
}

RequestTrace::ActiveSpan::ActiveSpan(const RequestTrace& trace, std::string name, std::optional<SpanId> parent)
    : m_trace(trace)
{
    m_span.trace = trace.m_context.trace;
    m_span.id = newSpanId(trace.m_random);
    m_span.parent = parent;
    if (!parent && trace.m_hasParent)
        m_span.parent = trace.m_context.span;
    m_span.name = std::move(name);
    m_span.start = std::chrono::system_clock::now();
}

void RequestTrace::ActiveSpan::setAttribute(std::string_view name, std::string_view value)
{
    if (m_trace.isSampled())
        m_span.attributes.push_back({ std::string(name), std::string(value) });
}

void RequestTrace::ActiveSpan::setError(std::string_view kind)
{
    m_span.isError = true;
    setAttribute("error", kind);
}

void RequestTrace::ActiveSpan::end()
{
    if (!std::exchange(m_isOpen, false) || !m_trace.isSampled())
        return;
    m_span.end = std::chrono::system_clock::now();
    m_trace.m_sink(m_span);
}

std::string RequestTrace::ActiveSpan::traceParent() const
{
    return toTraceParent({ m_span.trace, m_span.id, m_trace.isSampled() });
}

} // namespace dogwoodhall
