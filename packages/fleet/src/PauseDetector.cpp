#include "dogwoodhall/fleet/PauseDetector.h"

namespace dogwoodhall {

std::optional<Duration> PauseDetector::observe(TimePoint now)
{
    const auto last = m_last;
    if (!last || now > *last)
        m_last = now;
    if (!last || now - *last <= m_threshold)
        return std::nullopt;
    return now - *last;
}

} // namespace dogwoodhall
