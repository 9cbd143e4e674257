#include "dogwoodhall/dispatch/WarmUpState.h"

namespace dogwoodhall {

std::string_view toString(WarmUpSource source) { return source == WarmUpSource::Entry ? "entry" : "health-answer"; }

void WarmUpState::stateByEntry(Duration left, TimePoint seenAt)
{
    m_entrySeenAt = seenAt;
    const TimePoint until = seenAt + left;
    const bool mayBeOlder = m_source == WarmUpSource::HealthAnswer;
    if (mayBeOlder && until <= m_coldUntil)
        return;
    m_coldUntil = until;
    m_source = WarmUpSource::Entry;
}

void WarmUpState::stateByHealthAnswer(Duration left, TimePoint askedAt, TimePoint answeredAt)
{
    if (askedAt < m_askedAt)
        return;
    m_askedAt = askedAt;
    const TimePoint until = answeredAt + left;
    const bool mayBeOlder = askedAt < m_entrySeenAt;
    if (mayBeOlder && until <= m_coldUntil)
        return;
    m_coldUntil = until;
    m_source = WarmUpSource::HealthAnswer;
}

} // namespace dogwoodhall
