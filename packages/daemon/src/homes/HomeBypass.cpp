#include "dogwoodhall/daemon/homes/HomeBypass.h"

namespace dogwoodhall {

namespace {

// A failed home is retried after this time. If it stays down, gossip removes it from the fleet for longer.
constexpr Duration homeBypassDuration = std::chrono::seconds(1);

} // namespace

bool HomeBypass::contains(const PoolHome& home) const
{
    auto it = m_until.find(home.member);
    const bool hasFailed = it != m_until.end() && it->second > monotonicNow();
    return hasFailed || m_services.peers.isSuspected(home.peerAddress);
}

void HomeBypass::add(const MemberId& member)
{
    m_until[member] = monotonicNow() + homeBypassDuration;
    m_services.reportSilentMember(member);
}

void HomeBypass::removeExpired()
{
    std::erase_if(m_until, [now = monotonicNow()](const auto& item) { return item.second <= now; });
}

} // namespace dogwoodhall
