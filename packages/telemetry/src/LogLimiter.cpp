#include "dogwoodhall/telemetry/LogLimiter.h"

namespace dogwoodhall {

LogLimiter::Decision LogLimiter::check(std::string_view line, TimePoint now)
{
    if (m_entries.size() >= maxLines)
        m_entries.clear();
    auto [it, isNew] = m_entries.try_emplace(std::string(line), Entry { now, 0 });
    Entry& entry = it->second;
    Decision decision;
    if (!isNew && now - entry.periodStart >= period) {
        decision.suppressed = entry.seen > linesPerPeriod ? entry.seen - linesPerPeriod : 0;
        entry = { now, 0 };
    }
    ++entry.seen;
    decision.write = entry.seen <= linesPerPeriod;
    return decision;
}

} // namespace dogwoodhall
