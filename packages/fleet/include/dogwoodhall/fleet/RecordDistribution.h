#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/Units.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dogwoodhall {

struct RecordDistributionLimits {
    // Largest number of members to which one member forwards the same update.
    std::size_t maxBranches = std::numeric_limits<std::size_t>::max();
    // An update arrives by itself within this time after it has reached a first member. A peer that lacks it is not
    // sent it again before.
    Duration arrivalTime {};
    Duration remoteArrivalTime {}; // Likewise for members of different data centres.
};

// A member that may receive updates.
struct RecordReceiver {
    MemberId id;
    ByteCount linkCapacityPerSecond;
    bool canRelay = false; // Forwards updates, and is expected to respond at once.

    friend bool operator==(const RecordReceiver&, const RecordReceiver&) = default;
};

// Records that are due to a peer.
struct RecordDelivery {
    Revision after; // The peer needs the records above this revision.
    std::vector<MemberId> relayTo; // The peer forwards them to these members.

    // Includes what is due by the other delivery.
    void merge(const RecordDelivery&);
    friend bool operator==(const RecordDelivery&, const RecordDelivery&) = default;
};

// Decides how a change of the records travels: the branches of the tree by which updates reach the members of a data
// centre, which records are due to which peer, and from when on a peer that lacks records is sent them again. Owned by
// Fleet.
class RecordDistribution {
public:
    explicit RecordDistribution(RecordDistributionLimits limits)
        : m_limits(limits)
    {
    }

    // To be called whenever this member's highest revision may have changed.
    void observe(Revision highest, TimePoint now);
    // Records up to this revision have had the time to reach a member of this or another data centre.
    Revision arrivedElsewhere(bool isLocal, TimePoint now) const;

    // Divides the receivers among at most maxBranches relays, those with the largest links first. Receivers that cannot
    // relay are sent the update directly if there is no relay, otherwise by a relay.
    std::vector<std::pair<MemberId, std::vector<MemberId>>> branches(std::vector<RecordReceiver>) const;

    // Adds to what is due to the peer.
    void add(const MemberId& peer, const RecordDelivery&);
    std::optional<RecordDelivery> takeDue(const MemberId& peer);
    // What is due to the peer, for a request that is about to be sent. Remembered until its end.
    std::optional<RecordDelivery> takeForRequest(const MemberId& peer);
    // The same for a reply. Empty if the peer has to forward what is due to it, which only a request makes it do.
    std::optional<RecordDelivery> takeForReply(const MemberId& peer);
    // The request ended. Returns the records that it carried.
    std::optional<RecordDelivery> requestEnded(const MemberId& peer);
    // The members to which the peer of a request in flight would forward its records are no longer up to that peer.
    // Empty if there are none.
    std::optional<RecordDelivery> takeBackRelayTo(const MemberId& peer);
    // The request was not sent, or without its records, which are still due.
    void requestNotSent(const MemberId& peer);
    // The same, but neither these nor others due to the peer before the next period.
    void deferRecords(const MemberId& peer);
    // The peers of deferRecords(), whose records are due from now on.
    std::vector<MemberId> takeDeferred();
    // Nothing is due to the peer any more. Returns what it would have forwarded.
    RecordDelivery cancel(const MemberId& peer);
    void clear();

private:
    struct Arrival {
        Revision highest;
        TimePoint at;
    };

    RecordDistributionLimits m_limits;
    std::deque<Arrival> m_arrivals; // Of the records that may not have arrived elsewhere yet; ascending.
    Revision m_arrived; // Highest revision of the arrivals removed.
    std::map<MemberId, RecordDelivery> m_due;
    std::map<MemberId, RecordDelivery> m_sent; // By requests in flight.
    std::map<MemberId, RecordDelivery> m_deferred;
};

} // namespace dogwoodhall
