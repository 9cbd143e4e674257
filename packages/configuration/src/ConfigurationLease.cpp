#include "dogwoodhall/configuration/ConfigurationLease.h"

#include <algorithm>

namespace dogwoodhall {

void ConfigurationLease::confirm(TimePoint at, const std::optional<MemberId>& by)
{
    if (m_confirmedAt && at <= *m_confirmedAt)
        return;
    m_confirmedAt = at;
    m_confirmedBy = by;
}

void ConfigurationLease::storeAnswered(Era era, TimePoint at)
{
    m_era = era;
    m_answeredAt = at;
}

void ConfigurationLease::storeUnreachable(TimePoint at)
{
    m_unreachableAt = std::max(m_unreachableAt.value_or(at), at);
}

// A confirmation from after the read shows that the store answers other members, and an answer that it answers this
// one.
bool ConfigurationLease::hasLimit() const
{
    const bool isUnreachable = m_unreachableAt && m_unreachableAt > std::max(m_confirmedAt, m_answeredAt);
    return m_maxAge && !isUnreachable;
}

bool ConfigurationLease::isDue(Fraction share, TimePoint now) const
{
    return m_maxAge && (!m_confirmedAt || now - *m_confirmedAt >= scaled(*m_maxAge, share.value()));
}

LeaseTerm ConfigurationLease::term() const
{
    TimePoint mayDenyUntil = TimePoint::max();
    if (m_maxAge)
        mayDenyUntil = m_confirmedAt ? *m_confirmedAt + *m_maxAge : TimePoint();
    const TimePoint validUntil = hasLimit() ? mayDenyUntil : TimePoint::max();
    if (!m_mayDeny)
        mayDenyUntil = TimePoint();
    return { m_confirmedAt, validUntil, mayDenyUntil, m_confirmedBy, m_answeredAt, m_era };
}

} // namespace dogwoodhall
