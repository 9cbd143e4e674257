#include "dogwoodhall/telemetry/SpanQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dogwoodhall {

SpanQueue::SpanQueue(std::size_t capacity, Counter& dropped)
    : m_capacity(capacity)
    , m_dropped(dropped)
{
}

void SpanQueue::add(Span span)
{
    if (m_spans.size() >= m_capacity)
        m_dropped.add();
    else
        m_spans.push_back(std::move(span));
}

std::vector<Span> SpanQueue::take(std::size_t maxCount)
{
    const auto end = m_spans.begin() + static_cast<std::ptrdiff_t>(std::min(maxCount, m_spans.size()));
    std::vector<Span> taken(std::make_move_iterator(m_spans.begin()), std::make_move_iterator(end));
    m_spans.erase(m_spans.begin(), end);
    return taken;
}

} // namespace dogwoodhall
