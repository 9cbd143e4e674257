#pragma once

#include "dogwoodhall/exchange/Head.h"
#include "dogwoodhall/telemetry/Span.h"

#include <functional>
#include <string_view>

namespace dogwoodhall {

// Receives finished spans for export.
using SpanSink = std::function<void(Span)>;

// The trace of one request on this host: continued from its traceparent header, or new.
class RequestTrace {
public:
    // A span in progress. Ends when destroyed or when end() is called.
    class ActiveSpan {
    public:
        ActiveSpan(const RequestTrace&, std::string name, std::optional<SpanId> parent);
        ActiveSpan(const ActiveSpan&) = delete;
        ActiveSpan& operator=(const ActiveSpan&) = delete;
        ~ActiveSpan() { end(); }

        // Copies the strings only if the trace is sampled.
        void setAttribute(std::string_view name, std::string_view value);
        void setError(std::string_view kind);
        void end();
        // The traceparent value for a request sent within this span.
        std::string traceParent() const;
        const SpanId& id() const { return m_span.id; }

    private:
        const RequestTrace& m_trace;
        Span m_span;
        bool m_isOpen = true;
    };

    RequestTrace(const HeaderFields&, Fraction sampling, RandomEngine&, const SpanSink&);

    bool isSampled() const { return m_context.isSampled; }

private:
    TraceContext m_context;
    bool m_hasParent;
    RandomEngine& m_random;
    const SpanSink& m_sink;
};

} // namespace dogwoodhall
