#pragma once

#include "dogwoodhall/exchange/Head.h"
#include "dogwoodhall/telemetry/Span.h"

#include <functional>
#include <string_view>

namespace dogwoodhall {

// Takes a finished span, for export.
using SpanSink = std::function<void(Span)>;

// The trace of one request on this host: taken up from its traceparent field, or new.
class RequestTrace {
public:
    // A span under way. Ends when destroyed, or at end().
    class Hop {
    public:
        Hop(const RequestTrace&, std::string name, std::optional<SpanId> parent);
        Hop(const Hop&) = delete;
        Hop& operator=(const Hop&) = delete;
        ~Hop() { end(); }

        // Copies only where the request is traced.
        void note(std::string_view name, std::string_view value);
        void fail(std::string_view kind);
        void end();
        // The traceparent for a request sent within this hop.
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
