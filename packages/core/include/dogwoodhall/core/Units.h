#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace dogwoodhall {

// Time in decisions: nanoseconds on a monotonic clock with an origin chosen by the caller. Never wall-clock time.
using Duration = std::chrono::nanoseconds;

class TimePoint {
public:
    constexpr TimePoint() = default;
    constexpr explicit TimePoint(Duration sinceOrigin)
        : m_sinceOrigin(sinceOrigin)
    {
    }

    constexpr Duration sinceOrigin() const { return m_sinceOrigin; }
    static constexpr TimePoint max() { return TimePoint(Duration::max()); }

    friend constexpr auto operator<=>(TimePoint, TimePoint) = default;
    friend constexpr TimePoint operator+(TimePoint t, Duration d) { return TimePoint(t.m_sinceOrigin + d); }
    friend constexpr TimePoint operator-(TimePoint t, Duration d) { return TimePoint(t.m_sinceOrigin - d); }
    friend constexpr Duration operator-(TimePoint a, TimePoint b) { return a.m_sinceOrigin - b.m_sinceOrigin; }

private:
    Duration m_sinceOrigin {};
};

constexpr double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

constexpr double toMilliseconds(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

constexpr Duration scaled(Duration d, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(d) * factor);
}

// A typed count, so that bytes, slots and calls cannot be added to each other.
template <typename Tag> class Quantity {
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(std::uint64_t count)
        : m_count(count)
    {
    }

    constexpr std::uint64_t count() const { return m_count; }

    constexpr Quantity& operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr auto operator<=>(Quantity, Quantity) = default;
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return Quantity(a.m_count + b.m_count); }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return Quantity(a.m_count - b.m_count); }

private:
    std::uint64_t m_count = 0;
};

using ByteCount = Quantity<struct ByteCountTag>;
// Number of requests that an endpoint can run concurrently.
using SlotCount = Quantity<struct SlotCountTag>;
using CallCount = Quantity<struct CallCountTag>;

// A share of a whole, from 0 to 1.
class Fraction {
public:
    constexpr Fraction() = default;
    constexpr explicit Fraction(double value)
        : m_value(value < 0 ? 0 : (value > 1 ? 1 : value))
    {
    }
    constexpr double value() const { return m_value; }
    friend constexpr auto operator<=>(Fraction, Fraction) = default;

private:
    double m_value = 0;
};

} // namespace dogwoodhall
