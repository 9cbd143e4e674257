#include "dogwoodhall/configuration/ConfigurationLease.h"

#include <algorithm>

namespace dogwoodhall {

void ConfigurationLease::confirm(TimePoint at) { m_confirmedAt = std::max(m_confirmedAt.value_or(at), at); }

void ConfigurationLease::storeUnreachable(TimePoint at)
{
    m_unreachableAt = std::max(m_unreachableAt.value_or(at), at);
}

// A confirmation from after the read shows that the store answers other members.
bool ConfigurationLease::hasLimit() const
{
    const bool isUnreachable = m_unreachableAt && (!m_confirmedAt || *m_unreachableAt > *m_confirmedAt);
    return m_maxAge && !isUnreachable;
}

bool ConfigurationLease::needsConfirmation(Fraction share, TimePoint now) const
{
    return hasLimit() && (!m_confirmedAt || now - *m_confirmedAt >= scaled(*m_maxAge, share.value()));
}

LeaseTerm ConfigurationLease::term() const
{
    if (!hasLimit())
        return { m_confirmedAt, TimePoint::max() };
    return { m_confirmedAt, m_confirmedAt ? *m_confirmedAt + *m_maxAge : TimePoint() };
}

} // namespace dogwoodhall
