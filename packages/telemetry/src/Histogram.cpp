#include "dogwoodhall/telemetry/Histogram.h"

#include <algorithm>

namespace dogwoodhall {

void Histogram::observe(Duration duration)
{
    const auto it = std::lower_bound(bounds.begin(), bounds.end(), duration);
    m_buckets[static_cast<std::size_t>(it - bounds.begin())].add();
    m_sumNanoseconds.add(static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count())));
}

std::uint64_t Histogram::cumulativeCount(std::size_t n) const
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i <= n && i < m_buckets.size(); ++i)
        total += m_buckets[i].value();
    return total;
}

std::uint64_t Histogram::count() const { return cumulativeCount(m_buckets.size() - 1); }

double Histogram::sumSeconds() const { return static_cast<double>(m_sumNanoseconds.value()) / 1e9; }

} // namespace dogwoodhall
