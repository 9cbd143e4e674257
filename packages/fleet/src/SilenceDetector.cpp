#include "dogwoodhall/fleet/SilenceDetector.h"

#include <utility>

namespace dogwoodhall {

void SilenceDetector::waitStarted(TimePoint now)
{
    // Time without a waiting stream does not count as silence. Silence accumulated earlier is kept; otherwise callers
    // whose deadlines are shorter than the time until a suspicion would never raise one.
    if (m_waiting++ == 0)
        m_lastEvent = now;
}

void SilenceDetector::waitEnded(TimePoint now)
{
    advance(now);
    --m_waiting;
}

std::optional<SilenceAction> SilenceDetector::bytesArrived(TimePoint now)
{
    m_lastEvent = now;
    restart();
    if (std::exchange(m_isSuspected, false))
        return TrustPeer {};
    return std::nullopt;
}

std::optional<SilenceAction> SilenceDetector::tick(TimePoint now)
{
    if (m_waiting == 0)
        return std::nullopt;
    advance(now);
    if (m_isSuspected)
        return std::nullopt;
    if (!m_hasPinged && m_quiet >= m_limits.pingAfter)
        return SendSilencePing { std::exchange(m_hasRequestedPing, true) };
    if (!m_hasPinged || m_quiet < m_limits.suspectAfter)
        return std::nullopt;
    m_isSuspected = true;
    return SuspectPeer {};
}

void SilenceDetector::pingSent(TimePoint now)
{
    m_lastEvent = now;
    m_hasPinged = true;
    m_quiet = {};
}

// Bytes that arrived during a pause of this process may not have been read yet.
void SilenceDetector::advance(TimePoint now)
{
    const Duration gap = now - std::exchange(m_lastEvent, now);
    if (gap > m_limits.pingAfter)
        restart();
    else
        m_quiet += gap;
}

void SilenceDetector::restart()
{
    m_quiet = {};
    m_hasRequestedPing = false;
    m_hasPinged = false;
}

} // namespace dogwoodhall
