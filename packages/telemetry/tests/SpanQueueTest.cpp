#include "dogwoodhall/telemetry/SpanQueue.h"

#include "TableRows.h"

using namespace dogwoodhall;

struct QueueRow {
    std::size_t capacity;
    std::size_t added;
    std::size_t maxCount; // Argument of take().
    std::size_t taken;
    std::uint64_t dropped;
};

const QueueRow rows[] = {
    { 4, 0, 2, 0, 0 },
    { 4, 1, 2, 1, 0 },
    { 4, 4, 2, 2, 0 },
    { 4, 4, 9, 4, 0 },
    { 4, 5, 9, 4, 1 },
    { 4, 1000, 4, 4, 996 },
    { 0, 3, 1, 0, 3 },
};

// Guards against spans exhausting memory while the collector is unavailable, and against dropping spans uncounted.
ParameterizedTestParameters(SpanQueue, isBounded) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, SpanQueue, isBounded)
{
    const auto& row = rows[*index];
    Counter dropped;
    SpanQueue queue(row.capacity, dropped);
    for (std::size_t n = 0; n < row.added; ++n) {
        Span span;
        span.name = std::to_string(n);
        queue.add(std::move(span));
    }
    const auto taken = queue.take(row.maxCount);
    cr_assert_eq(taken.size(), row.taken, "row %zu", *index);
    for (std::size_t n = 0; n < taken.size(); ++n)
        cr_assert(taken[n].name == std::to_string(n), "row %zu: not the oldest first", *index);
    cr_assert_eq(dropped.value(), row.dropped, "row %zu", *index);
    cr_assert_eq(queue.size(), row.added - row.dropped - row.taken, "row %zu", *index);
}
