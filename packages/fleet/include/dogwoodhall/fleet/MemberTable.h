#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/Member.h"

#include <cstdint>
#include <map>
#include <vector>

namespace dogwoodhall {

// Local state about another member, in addition to the claim itself.
struct TrackedMember {
    Member member;
    TimePoint lastHeard; // Last direct message, or first claim by gossip with a higher version of the member.
    TimePoint stateSince;
    TimePoint runFirstSeenAt; // When the member's current run was first seen.
    bool isListed = false; // In the host list.
    bool isListedLeaving = false;
    bool isConfirmed = false; // Reported alive since this process started or last resumed from a pause.
    std::uint64_t fleetRoster = 0; // Of its last message.
    unsigned failures = 0; // Consecutive failed exchanges that this process started.

    bool hasRun() const { return member.incarnation != Incarnation(); }
    // Eligible as a watcher of the platform, ready or not.
    bool isActive() const { return member.state == MemberState::Alive && !isListedLeaving && hasRun(); }
    // Eligible as a home.
    bool isCandidate() const { return isActive() && member.isReady; }
    bool isReachable() const { return member.state == MemberState::Alive || member.state == MemberState::Leaving; }
};

// The known members other than this one, and the rules by which claims supersede each other.
class MemberTable {
public:
    using Members = std::map<MemberId, TrackedMember>;

    // Applies a claim if it supersedes the known one, and returns whether it did. A claim that an unknown member is
    // gone is ignored, so that a late claim does not bring back a removed member.
    bool merge(const Member& claim, TimePoint now);
    // Records a direct message from the member.
    void recordContact(const MemberId&, TimePoint now);
    // Changes the state without a newer claim from the member. Returns whether it changed.
    bool setState(const MemberId&, MemberState, TimePoint now);
    void remove(const MemberId& id) { m_members.erase(id); }

    TrackedMember* find(const MemberId&);
    const TrackedMember* find(const MemberId&) const;
    // Returns the entry for a member in the host list, created if missing. Its address is taken from the list unless a
    // live run has announced one.
    TrackedMember& addListed(const Member& member, TimePoint now);

    Members& members() { return m_members; }
    const Members& members() const { return m_members; }

private:
    Members m_members;
};

} // namespace dogwoodhall
