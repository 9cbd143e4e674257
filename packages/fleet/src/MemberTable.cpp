#include "dogwoodhall/fleet/MemberTable.h"

namespace dogwoodhall {

bool MemberTable::merge(const Member& claim, TimePoint now)
{
    auto* known = find(claim.id);
    if (!known) {
        if (claim.state == MemberState::Gone || claim.incarnation == Incarnation())
            return false;
        m_members.emplace(
            claim.id, TrackedMember { .member = claim, .lastHeard = now, .stateSince = now, .runFirstSeenAt = now });
        return true;
    }
    if (!supersedes(claim, known->member))
        return false;
    const bool isNewerSelfClaim
        = claim.incarnation > known->member.incarnation || claim.version > known->member.version;
    if (isNewerSelfClaim) {
        known->lastHeard = now;
        known->failures = 0;
    }
    if (claim.state != known->member.state)
        known->stateSince = now;
    if (claim.incarnation != known->member.incarnation)
        known->runFirstSeenAt = now;
    known->member = claim;
    return true;
}

bool MemberTable::setState(const MemberId& id, MemberState state, TimePoint now)
{
    auto* known = find(id);
    if (!known || known->member.state == state)
        return false;
    known->member.state = state;
    known->stateSince = now;
    return true;
}

void MemberTable::recordContact(const MemberId& id, TimePoint now)
{
    if (auto* known = find(id)) {
        known->lastHeard = now;
        known->failures = 0;
    }
}

TrackedMember& MemberTable::addListed(const Member& member, TimePoint now)
{
    auto [it, isNew] = m_members.try_emplace(member.id);
    auto& tracked = it->second;
    if (isNew) {
        tracked.member = member;
        tracked.lastHeard = now;
        tracked.stateSince = now;
    } else if (tracked.member.incarnation == Incarnation() || tracked.member.state == MemberState::Gone) {
        tracked.member.peerAddress = member.peerAddress;
        tracked.member.dataCentre = member.dataCentre;
    }
    return tracked;
}

TrackedMember* MemberTable::find(const MemberId& id)
{
    auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

const TrackedMember* MemberTable::find(const MemberId& id) const
{
    auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

} // namespace dogwoodhall
