#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/telemetry/Counter.h"

#include <array>
#include <chrono>

namespace dogwoodhall {

// Durations counted into fixed buckets, from 0.1 ms to 30 s in steps of about three, finer around the latency target
// of 0.63 ms.
class Histogram {
public:
    static constexpr std::array<Duration, 14> bounds { std::chrono::microseconds(100), std::chrono::microseconds(250),
        std::chrono::microseconds(400), std::chrono::microseconds(630), std::chrono::milliseconds(1),
        std::chrono::milliseconds(3), std::chrono::milliseconds(10), std::chrono::milliseconds(30),
        std::chrono::milliseconds(100), std::chrono::milliseconds(300), std::chrono::seconds(1),
        std::chrono::seconds(3), std::chrono::seconds(10), std::chrono::seconds(30) };

    void observe(Duration);

    // Observations at or below bounds[n].
    std::uint64_t countUpTo(std::size_t n) const;
    std::uint64_t count() const;
    double sumSeconds() const;

private:
    std::array<Counter, bounds.size() + 1> m_buckets; // The last holds what exceeds every bound.
    Counter m_sumNanoseconds;
};

} // namespace dogwoodhall
