#pragma once

#include <atomic>
#include <cstdint>

namespace dogwoodhall {

// A value that any thread can change and read. Memory order is relaxed: two counters need not be consistent with each
// other.
class Counter {
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    void set(std::uint64_t value) { m_value.store(value, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

} // namespace dogwoodhall
