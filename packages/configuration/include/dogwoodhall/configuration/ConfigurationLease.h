#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <optional>

namespace dogwoodhall {

// What a traffic thread needs to know of a ConfigurationLease.
struct LeaseTerm {
    // The records include every change that the store had acknowledged by then; empty if that was never confirmed.
    std::optional<TimePoint> confirmedAt;
    TimePoint validUntil; // max() without a limit.
    // A request may be denied by what the records lack, or forbid, until then. Other than validUntil this also holds
    // while no member can know of changes. max() without a limit.
    TimePoint mayDenyUntil;
    // For logs.
    std::optional<MemberId> confirmedBy {}; // The peer that confirmed the records; empty if this member's own read did.
    std::optional<TimePoint> storeAnsweredAt {}; // The last time that the store answered this member.
    Era storeEra {}; // The latest that the store has named to this member.

    friend bool operator==(const LeaseTerm&, const LeaseTerm&) = default;
};

// How long this member may decide by the records that it holds. A change must be in force a certain time after the
// store has acknowledged it, but a member that hears nothing cannot tell whether there were changes. So the records are
// confirmed again and again, by reads of the store or by peers that have read it, and the lease lasts for that time
// from the last confirmation. It has no limit while the store does not answer this member and no peer confirms them:
// then no member may know, and requests are served rather than refused. What the records do not allow may have been
// allowed since, though, so that no request is denied for good by records that are older. The store may also refuse
// only this member, so that it goes on asking its peers.
class ConfigurationLease {
public:
    // Without `maxAge` the lease has no limit.
    explicit ConfigurationLease(std::optional<Duration> maxAge)
        : m_maxAge(maxAge)
    {
    }

    // The records held include every change that the store had acknowledged at `at`, by a read of this member or as a
    // peer says.
    void confirm(TimePoint at, const std::optional<MemberId>& by = {});
    // The store is available to this member, whether or not the records are complete.
    void storeAnswered(Era, TimePoint at);
    // A read that began at `at` got no answer from the store.
    void storeUnreachable(TimePoint at);

    // False while the member knows of a newer routing document, or has not heard from its peers. Nothing is denied
    // then.
    void setMayDeny(bool mayDeny) { m_mayDeny = mayDeny; }

    // Whether this share of the lease's time has passed since the last confirmation, so that peers should be asked.
    bool isDue(Fraction share, TimePoint now) const;
    // The same, and the store may answer, so that the member should confirm its records by a read.
    bool needsConfirmation(Fraction share, TimePoint now) const { return hasLimit() && isDue(share, now); }
    bool isConfirmed() const { return m_confirmedAt.has_value(); }
    LeaseTerm term() const;

private:
    bool hasLimit() const;

    std::optional<Duration> m_maxAge;
    std::optional<TimePoint> m_confirmedAt;
    std::optional<MemberId> m_confirmedBy;
    std::optional<TimePoint> m_unreachableAt;
    std::optional<TimePoint> m_answeredAt;
    Era m_era;
    bool m_mayDeny = true;
};

} // namespace dogwoodhall
