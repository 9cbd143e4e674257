#pragma once

#include "dogwoodhall/telemetry/Counter.h"
#include "dogwoodhall/telemetry/Span.h"

#include <vector>

namespace dogwoodhall {

// A bounded queue of spans to export. When it is full, for example because the collector is unavailable, new spans are
// dropped and counted.
class SpanQueue {
public:
    SpanQueue(std::size_t capacity, Counter& dropped);

    void add(Span);
    // Removes and returns up to `maxCount` of the oldest spans.
    std::vector<Span> take(std::size_t maxCount);
    std::size_t size() const { return m_spans.size(); }

private:
    std::size_t m_capacity;
    Counter& m_dropped;
    std::vector<Span> m_spans;
};

} // namespace dogwoodhall
