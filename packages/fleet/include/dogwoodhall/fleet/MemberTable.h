#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/Member.h"

#include <cstdint>
#include <map>
#include <vector>

namespace dogwoodhall {

// What one member knows about another, besides the claim itself.
struct TrackedMember {
    Member member;
    TimePoint lastHeard; // Last direct message, or word by gossip that the member raised its version.
    TimePoint stateSince;
    TimePoint runSince; // First word of the member's present run.
    bool isListed = false; // In the host list.
    bool isListedLeaving = false;
    bool isConfirmed = false; // Heard of since this process started or last woke from a pause.
    unsigned failures = 0; // Exchanges in a row that this process started and that failed.

    bool hasRun() const { return member.incarnation != Incarnation(); }
    // May watch the platform, ready or not.
    bool isActive() const { return member.state == MemberState::Alive && !isListedLeaving && hasRun(); }
    // May be a home.
    bool isCandidate() const { return isActive() && member.isReady; }
    bool isReachable() const { return member.state == MemberState::Alive || member.state == MemberState::Leaving; }
};

// The known members other than this one, and the rules by which claims replace one another.
class MemberTable {
public:
    using Members = std::map<MemberId, TrackedMember>;

    // Takes a claim where it supersedes what is known. True where it did. A claim that an unknown member is gone is
    // ignored, so that a forgotten member is not brought back by a late claim about its end.
    bool merge(const Member& claim, TimePoint now);
    // Records a direct message from the member.
    void heard(const MemberId&, TimePoint now);
    // Changes the state without a newer word from the member. True where it changed.
    bool setState(const MemberId&, MemberState, TimePoint now);
    void remove(const MemberId& id) { m_members.erase(id); }

    TrackedMember* find(const MemberId&);
    const TrackedMember* find(const MemberId&) const;
    // The entry for a member that the host list names, made where it is missing. Its address follows the list where no
    // live run has stated one.
    TrackedMember& addListed(const Member& member, TimePoint now);

    Members& members() { return m_members; }
    const Members& members() const { return m_members; }

private:
    Members m_members;
};

} // namespace dogwoodhall
