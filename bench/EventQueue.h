#pragma once

#include "dogwoodhall/core/Units.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace dogwoodhall::bench {

// Runs events in order of virtual time. Events of the same time run in the order in which they were added.
class EventQueue {
public:
    using Event = std::function<void()>;

    TimePoint now() const { return m_now; }

    void at(TimePoint time, Event event)
    {
        m_heap.push_back({ std::max(time, m_now), m_serial++, std::move(event) });
        std::push_heap(m_heap.begin(), m_heap.end(), isLater);
    }

    void runUntil(TimePoint end)
    {
        while (!m_heap.empty() && m_heap.front().time <= end) {
            std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
            Entry entry = std::move(m_heap.back());
            m_heap.pop_back();
            m_now = entry.time;
            entry.event();
        }
    }

private:
    struct Entry {
        TimePoint time;
        std::uint64_t serial;
        Event event;
    };
    static bool isLater(const Entry& a, const Entry& b)
    {
        return a.time != b.time ? a.time > b.time : a.serial > b.serial;
    }

    std::vector<Entry> m_heap;
    std::uint64_t m_serial = 0;
    TimePoint m_now;
};

} // namespace dogwoodhall::bench
