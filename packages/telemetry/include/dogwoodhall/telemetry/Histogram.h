#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/telemetry/Counter.h"

#include <array>
#include <chrono>

namespace dogwoodhall {

// A histogram of durations with fixed buckets from 0.1 ms to 30 s, growing by a factor of about three, with finer steps
// around the latency target of 0.63 ms.
class Histogram {
public:
    static constexpr std::array<Duration, 14> bounds { std::chrono::microseconds(100), std::chrono::microseconds(250),
        std::chrono::microseconds(400), std::chrono::microseconds(630), std::chrono::milliseconds(1),
        std::chrono::milliseconds(3), std::chrono::milliseconds(10), std::chrono::milliseconds(30),
        std::chrono::milliseconds(100), std::chrono::milliseconds(300), std::chrono::seconds(1),
        std::chrono::seconds(3), std::chrono::seconds(10), std::chrono::seconds(30) };

    void observe(Duration);

    // Number of observations at or below bounds[n].
    std::uint64_t cumulativeCount(std::size_t n) const;
    std::uint64_t count() const;
    double sumSeconds() const;

private:
    std::array<Counter, bounds.size() + 1> m_buckets; // The last bucket counts observations above all bounds.
    Counter m_sumNanoseconds;
};

} // namespace dogwoodhall
