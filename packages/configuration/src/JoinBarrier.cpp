#include "dogwoodhall/configuration/JoinBarrier.h"

#include <algorithm>

namespace dogwoodhall {

void JoinBarrier::peerAnswered(const MemberId& peer, Revision highest, bool isPeerReady, TimePoint askedAt)
{
    if (!m_isReady) {
        m_answers[peer] = isPeerReady;
        m_target = std::max(m_target, highest);
    } else if (isPeerReady && askedAt >= m_readyAt && m_answeredSinceReady.size() < requiredAnswers) {
        m_answeredSinceReady.insert(peer);
    }
}

void JoinBarrier::platformAnswered(Revision highest)
{
    m_hasPlatformAnswer = true;
    m_target = std::max(m_target, highest);
}

void JoinBarrier::expire(TimePoint now)
{
    m_startedAt = now;
    m_answers.clear();
    m_answeredSinceReady.clear();
    m_hasPlatformAnswer = false;
    m_hasServed = m_hasServed || m_isReady;
    m_isReady = false;
}

bool JoinBarrier::isReady(Revision held, TimePoint now)
{
    if (m_isReady)
        return true;
    if (held == Revision() || held < m_target)
        return false;
    const auto ready = static_cast<std::size_t>(
        std::count_if(m_answers.begin(), m_answers.end(), [](const auto& answer) { return answer.second; }));
    const bool hasAllAnswers
        = m_listedPeers && (ready >= std::min(*m_listedPeers, requiredAnswers) || m_answers.size() >= *m_listedPeers);
    const bool hasWaited = now - m_startedAt >= silenceLimit;
    const bool hasSource = m_hasPlatformAnswer || !m_answers.empty() || (m_hasServed && hasWaited);
    m_isReady = hasSource && (m_consistency == PlatformConsistency::Linearizable || hasAllAnswers || hasWaited);
    if (m_isReady)
        m_readyAt = now;
    return m_isReady;
}

bool JoinBarrier::mayDeny(std::size_t knownPeers, TimePoint now) const
{
    const bool hasWaited = now - m_readyAt >= silenceLimit;
    return m_isReady && (hasWaited || m_answeredSinceReady.size() >= std::min(knownPeers, requiredAnswers));
}

} // namespace dogwoodhall
