#pragma once

#include "dogwoodhall/telemetry/Counter.h"
#include "dogwoodhall/telemetry/Span.h"

#include <vector>

namespace dogwoodhall {

// Spans that wait for export. Bounded: with the collector away, new spans are dropped and counted.
class SpanQueue {
public:
    SpanQueue(std::size_t capacity, Counter& dropped);

    void add(Span);
    // Takes up to `most` of the oldest spans.
    std::vector<Span> take(std::size_t most);
    std::size_t size() const { return m_spans.size(); }

private:
    std::size_t m_capacity;
    Counter& m_dropped;
    std::vector<Span> m_spans;
};

} // namespace dogwoodhall
