#pragma once

#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <optional>
#include <variant>

namespace dogwoodhall {

// What has changed since the last publication.
enum class PublicationReason {
    Standing, // Readiness, draining, or waking after a pause: published at once.
    Upstreams, // The host list names other upstream hosts as leaving.
    Records,
    Members,
};

struct PublicationLimits {
    // Of one core: half of the 1.4% that control may take in a daemon. The other half is for gossip, offers of records,
    // probes and their transport.
    Fraction processorShare { 0.007 };
    // A leaving upstream gets no new work after a few seconds, of which the host list's lag takes the larger part.
    Duration mostUpstreamsDelay = std::chrono::seconds(1);
    // Of the 14 s in which a change is in effect everywhere, 3 s are for gossip with a fifth of the exchanges lost.
    // Also bounds how long homes may differ from what the member list says.
    Duration mostDelay = std::chrono::seconds(5);
    // Publications made beyond the share put off later ones; for longer than this, one slow spell of the machine would
    // delay changes after it.
    Duration mostDebt = std::chrono::seconds(60);
};

// Publish a snapshot now, then call published().
struct PublishNow {
    friend bool operator==(const PublishNow&, const PublishNow&) = default;
};

// Call timerDue() at this time; replaces the time asked for before.
struct ArmPublicationTimer {
    TimePoint at;

    friend bool operator==(const ArmPublicationTimer&, const ArmPublicationTimer&) = default;
};

using PublicationAction = std::variant<PublishNow, ArmPublicationTimer>;

// Decides when the control thread publishes. After a publication that took c of processor time, the next one waits for
// c / processorShare, so that publications stay within that share whatever their size, and changes in between are
// published together. A change waits no longer than the limit for its reason, beyond the share if need be: for
// records and members from 35 ms a publication, where 14 ms were measured at the design size (docs/CAPACITY.md).
class PublicationPacer {
public:
    explicit PublicationPacer(PublicationLimits limits = {})
        : m_limits(limits)
    {
    }

    std::optional<PublicationAction> changeNoted(PublicationReason, TimePoint now);
    // `cost` is the processor time that the publication took.
    std::optional<PublicationAction> published(Duration cost, TimePoint now);
    // Also right where it comes early or late.
    std::optional<PublicationAction> timerDue(TimePoint now);
    // A change has not been published yet.
    bool hasPending() const { return m_deadline.has_value(); }

private:
    Duration mostDelay(PublicationReason) const;
    std::optional<PublicationAction> decide(TimePoint now);

    PublicationLimits m_limits;
    std::optional<TimePoint> m_deadline; // Of the changes that wait; empty where none does.
    TimePoint m_paidAt; // When the share has paid for the publications so far.
};

} // namespace dogwoodhall
