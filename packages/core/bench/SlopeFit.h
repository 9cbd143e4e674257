#pragma once

#include <cmath>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <vector>

namespace dogwoodhall {

// Fits a straight line by least squares to measurements of a cost at several sizes.
class SlopeFit {
public:
    SlopeFit(const char* cost, const char* unit, const char* size)
        : m_cost(cost)
        , m_unit(unit)
        , m_size(size)
    {
    }

    void add(double size, double cost) { m_points.push_back({ size, cost }); }

    // Prints the points, the line as "cost = fixed + slope * size", and R², the share of the variance that it explains.
    void print() const
    {
        for (const auto& [size, cost] : m_points)
            std::printf("  %-10.0f %s: %.3f %s\n", size, m_size, cost, m_unit);
        double n = 0, x = 0, y = 0, xx = 0, xy = 0, yy = 0;
        for (const auto& [size, cost] : m_points) {
            n += 1;
            x += size;
            y += cost;
            xx += size * size;
            xy += size * cost;
            yy += cost * cost;
        }
        const double sxx = xx - x * x / n;
        const double sxy = xy - x * y / n;
        const double syy = yy - y * y / n;
        const double slope = sxy / sxx;
        std::printf("%s = %.4g %s + %.4g %s per %s, R2 = %.4f, %zu sizes\n\n", m_cost, (y - slope * x) / n, m_unit,
            slope, m_unit, m_size, syy > 0 ? sxy * sxy / (sxx * syy) : 1, m_points.size());
    }

private:
    struct Point {
        double size;
        double cost;
    };
    const char* m_cost;
    const char* m_unit;
    const char* m_size;
    std::vector<Point> m_points;
};

// Bytes allocated, including the allocator's overhead.
inline double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

inline double threadMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return 1e6 * static_cast<double>(time.tv_sec) + 1e-3 * static_cast<double>(time.tv_nsec);
}

// Processor time per call in microseconds: the fastest of nine batches, which excludes most of the effect of other
// processes on the caches of a shared machine.
template <typename Call> double microsecondsPerCall(int calls, Call call)
{
    double best = 0;
    for (int batch = 0; batch < 9; ++batch) {
        const double start = threadMicroseconds();
        for (int n = 0; n < calls; ++n)
            call(n);
        const double perCall = (threadMicroseconds() - start) / calls;
        if (batch == 0 || perCall < best)
            best = perCall;
    }
    return best;
}

} // namespace dogwoodhall
