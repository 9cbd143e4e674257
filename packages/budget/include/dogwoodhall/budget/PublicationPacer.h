#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <optional>
#include <variant>

namespace dogwoodhall {

// What has changed since the last publication.
enum class PublicationReason {
    Readiness, // Also draining and resumption after a pause: published at once.
    LeavingUpstreams, // The set of leaving upstream hosts in the host list has changed.
    Records,
    Members,
};

struct PublicationLimits {
    // Share of one core: half of the 1.4% that the control thread of a daemon may use. The other half is for gossip,
    // offers of records, probes and their transport.
    Fraction processorShare { 0.007 };
    // A leaving upstream must stop receiving new work within a few seconds, most of which is the lag of the host list.
    Duration maxUpstreamsDelay = std::chrono::seconds(1);
    // A change must be in effect everywhere within 14 s, of which gossip takes 3 s when a fifth of the exchanges are
    // lost. Also limits how long the published homes may differ from the member list.
    Duration maxDelay = std::chrono::seconds(5);
    // Publications that exceed the share defer later ones, but by no more than this, so that a temporary slowdown of
    // the machine does not delay changes after it.
    Duration maxDebt = std::chrono::seconds(60);
};

// Publish a snapshot now, then call published().
struct PublishNow {
    friend bool operator==(const PublishNow&, const PublishNow&) = default;
};

// Call timerDue() at this time. Replaces any earlier timer.
struct ArmPublicationTimer {
    TimePoint at;

    friend bool operator==(const ArmPublicationTimer&, const ArmPublicationTimer&) = default;
};

using PublicationAction = std::variant<PublishNow, ArmPublicationTimer>;

// Decides when the control thread publishes. After a publication that took c of processor time, the next one waits for
// c / processorShare, so that publications stay within that share whatever their cost, and changes in between are
// batched. A change waits no longer than the limit for its reason, even if that exceeds the share: for records and
// members this happens from 35 ms per publication on, while a publication takes 14 ms at the design size
// (docs/CAPACITY.md).
class PublicationPacer {
public:
    explicit PublicationPacer(PublicationLimits limits = {})
        : m_limits(limits)
    {
    }

    std::optional<PublicationAction> changeOccurred(PublicationReason, TimePoint now);
    // `cost` is the processor time of the publication.
    std::optional<PublicationAction> published(Duration cost, TimePoint now);
    // May be called early or late.
    std::optional<PublicationAction> timerDue(TimePoint now);
    // Whether a change has not been published yet.
    bool hasPending() const { return m_deadline.has_value(); }

private:
    Duration maxDelay(PublicationReason) const;
    std::optional<PublicationAction> decide(TimePoint now);

    PublicationLimits m_limits;
    std::optional<TimePoint> m_deadline; // Of the pending changes; empty if there are none.
    TimePoint m_paidUntil; // When the share covers the cost of the publications so far.
};

} // namespace dogwoodhall
