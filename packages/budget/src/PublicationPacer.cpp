#include "dogwoodhall/budget/PublicationPacer.h"

#include <algorithm>

namespace dogwoodhall {

std::optional<PublicationAction> PublicationPacer::changeOccurred(PublicationReason reason, TimePoint now)
{
    const TimePoint deadline = now + maxDelay(reason);
    m_deadline = m_deadline ? std::min(*m_deadline, deadline) : deadline;
    return decide(now);
}

std::optional<PublicationAction> PublicationPacer::published(Duration cost, TimePoint now)
{
    const TimePoint paidUntil = std::max(m_paidUntil, now) + scaled(cost, 1 / m_limits.processorShare.value());
    m_paidUntil = std::min(paidUntil, now + m_limits.maxDebt);
    if (!m_deadline)
        return std::nullopt;
    return decide(now);
}

std::optional<PublicationAction> PublicationPacer::timerDue(TimePoint now)
{
    if (!m_deadline)
        return std::nullopt;
    return decide(now);
}

Duration PublicationPacer::maxDelay(PublicationReason reason) const
{
    switch (reason) {
    case PublicationReason::Readiness:
        return Duration::zero();
    case PublicationReason::LeavingUpstreams:
        return m_limits.maxUpstreamsDelay;
    case PublicationReason::Records:
    case PublicationReason::Members:
        break;
    }
    return m_limits.maxDelay;
}

std::optional<PublicationAction> PublicationPacer::decide(TimePoint now)
{
    const TimePoint due = std::min(*m_deadline, m_paidUntil);
    if (now < due)
        return ArmPublicationTimer { due };
    m_deadline.reset();
    return PublishNow {};
}

} // namespace dogwoodhall
