#pragma once

#include "dogwoodhall/configuration/EndpointRegistration.h"
#include "dogwoodhall/configuration/RoutingDeclaration.h"
#include "dogwoodhall/dispatch/FleetView.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace dogwoodhall {

struct WarmUpLimits {
    // In any second a cold endpoint gets at most as many requests as it tolerates times the overage, plus the slack,
    // from all members together.
    double overage = 1;
    double slack = 0;
    // This traffic thread among those of its process. Each endpoint belongs to one of them.
    std::size_t thread = 0;
    std::size_t threads = 1;
    // Parts of the fleet that may count only themselves alive, because the network separates them.
    std::size_t maxViews = 3;
    // Longer than a second, so that a delay between the write and the arrival does not put two into one second.
    Duration period = std::chrono::milliseconds(1100);
    // How long a member that has started leaves cold endpoints alone: until it knows its peers, and until what its
    // earlier run has sent no longer counts.
    Duration startDelay = std::chrono::seconds(3);
    Duration startDelayAlone = std::chrono::seconds(10); // While it knows no other member.
    // How long members that are gone keep their rank. They keep it for longer while fewer than half of the members
    // known are alive, so that a part of the fleet that is cut off does not take their place.
    Duration memberMemory = std::chrono::seconds(60);
    // A cold endpoint that a member has sent nothing to for this long is due for work from it.
    Duration workInterval = std::chrono::seconds(2);
    // Members of other data centres are designated only where the endpoint's own has fewer members than this.
    std::size_t minDesignated = 4;
};

// Decides which requests this member may send to cold endpoints, so that the sum over all members holds without
// messages. For each endpoint a few members are designated by rendezvous hashing over the members that may be alive,
// those of its data centre first, and each may send a fixed number of requests per period. Members that are designated
// only because others seem to be gone must also rank high enough among all members known lately, so that the limit
// holds even if each member counts only itself alive. Has no I/O; one instance for each traffic thread.
class WarmUpLimiter {
public:
    explicit WarmUpLimiter(WarmUpLimits limits = {})
        : m_limits(limits)
    {
    }

    // Call also when the directory has changed: shares are kept until the next call.
    void apply(const FleetView&, TimePoint now);

    // Returns whether one more request may be sent to the endpoint while it is cold. Always true for services that
    // state no limit.
    bool maySend(const UpstreamDeclaration&, const EndpointRegistration&, TimePoint now) const;
    // Returns whether maySend() holds and the endpoint should get work from this member before warm ones do.
    bool isDue(const UpstreamDeclaration&, const EndpointRegistration&, TimePoint now) const;
    // Call for each request that is about to be sent to an endpoint of a service with a limit, cold or not: what was
    // sent just before it became cold counts too. The request counts until written() is called, for 10 s at most, and
    // then for a period.
    void sent(const EndpointId&, TimePoint decidedAt);
    // Call when a request for which sent() was called has been written, or when its attempt has ended before.
    void written(const EndpointId&, TimePoint decidedAt, TimePoint writtenAt);

private:
    struct RankedMember {
        std::uint64_t hash = 0;
        DataCentreId dataCentre;
        std::optional<TimePoint> goneSince; // Empty while it may be alive.
    };
    // Requests that this member may send to an endpoint in each period.
    struct Share {
        std::size_t requests = 0;
        Duration period {};
    };
    struct Send {
        TimePoint at; // Of the write; before it, of the decision.
        bool isWritten = false;

        bool isWithin(Duration period, TimePoint now) const;
    };
    // Number of members that rank before this one for an endpoint, and those that may be designated for it.
    struct Standing {
        std::size_t aliveBefore = 0;
        std::size_t knownBefore = 0;
        std::size_t candidates = 0;
    };

    const Share& shareOf(const UpstreamDeclaration&, const EndpointRegistration&) const;
    Share computeShare(const UpstreamDeclaration&, const EndpointRegistration&) const;
    Standing standingFor(const EndpointRegistration&) const;
    void forgetGoneMembers(TimePoint now);
    bool hasStarted(TimePoint now) const;
    void removeOldSends(TimePoint now);

    WarmUpLimits m_limits;
    RankedMember m_self;
    std::unordered_map<MemberId, RankedMember> m_others;
    std::optional<TimePoint> m_startedAt; // When the fleet was first applied.
    std::unordered_map<EndpointId, std::deque<Send>> m_sends; // Of each endpoint, in the order of the decisions.
    mutable std::unordered_map<EndpointId, Share> m_shares; // Computed since the last apply().
};

} // namespace dogwoodhall
