#include "dogwoodhall/telemetry/LogLimiter.h"

namespace dogwoodhall {

LogLimiter::Verdict LogLimiter::offer(std::string_view line, TimePoint now)
{
    if (m_entries.size() >= maxLines)
        m_entries.clear();
    auto [it, isNew] = m_entries.try_emplace(std::string(line), Entry { now, 0 });
    Entry& entry = it->second;
    Verdict verdict;
    if (!isNew && now - entry.periodStart >= period) {
        verdict.leftOut = entry.seen > linesPerPeriod ? entry.seen - linesPerPeriod : 0;
        entry = { now, 0 };
    }
    ++entry.seen;
    verdict.write = entry.seen <= linesPerPeriod;
    return verdict;
}

} // namespace dogwoodhall
