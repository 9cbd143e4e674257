#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/fleet/FleetActions.h"
#include "dogwoodhall/fleet/GossipContent.h"
#include "dogwoodhall/fleet/MemberTable.h"
#include "dogwoodhall/fleet/PauseDetector.h"
#include "dogwoodhall/fleet/RecordDistribution.h"
#include "dogwoodhall/fleet/Rendezvous.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace dogwoodhall {

struct FleetLimits {
    Duration gossipPeriod = std::chrono::milliseconds(500);
    // Allows a suspicion to reach the member and its refutation to propagate back in a large fleet.
    Duration suspectTimeout = std::chrono::seconds(10);
    // A member of the local data centre becomes suspect after this much silence even if no exchange has failed. Each
    // member is contacted once per round, and a round has as many periods as there are members, so two rounds are the
    // longest gap between contacts.
    Duration silenceTimeout = std::chrono::seconds(10);
    Duration silenceTimeoutPerMember = std::chrono::seconds(2);
    // Gone members are kept in the table for longer than claims about them circulate.
    Duration goneRetention = std::chrono::seconds(60);
    // Once in this many periods an exchange goes to a suspect or gone member that is still in the host list, so that
    // both sides of a network partition rediscover each other.
    unsigned unreachableRetryPeriods = 10;
    // Once in this many periods an exchange goes to another region, if there is one.
    unsigned otherRegionPeriods = 4;
    // Average number of exchanges with other data centres that all members of one data centre start per period. Limits
    // traffic on links that are billed by volume. Empty: one per member.
    std::optional<double> remoteExchangesPerDataCentre {};
    std::size_t watchersPerDataCentre = 2;
    // The watcher role moves on from a member that cannot read the platform, as long as at most this many members of
    // the data centre are in that state. If more are, the platform itself is down, and failing over further would only
    // add calls that fail.
    std::size_t maxMembersWithoutPlatform = 3;
    // At 8 messages sent per second (two exchanges per period, requests and replies), 16 updates of about 60 bytes use
    // less than 8 KB/s of the daemon's 14 KB/s.
    std::size_t maxMemberUpdates = 16;
    // Of these updates, the number reserved for the roster in a reply to a member that started within joinWindow and
    // whose roster differs, so that claims circulating after a restart of the fleet do not delay the roster. The rest
    // carries claims.
    std::size_t reservedRosterUpdates = 12;
    // Roughly the time to transfer a roster of 3,000 members in parts of 12 at four replies per second.
    Duration joinWindow = std::chrono::seconds(60);
    std::size_t maxPoolLoads = 8;
    // In a fleet of up to this many members all ask the first reader for confirmations. In a larger one the watcher of
    // each data centre does, and its members ask the watcher.
    std::size_t maxConfirmedByFirstReader = 40;
    // An exchange whose end was not reported counts as ended after this time, so that the peer is contacted again.
    // Longer than the transport's time-outs, which add up to 11.5 s.
    Duration exchangeLifetime = std::chrono::seconds(15);
    ByteCount maxRecordBytes { 8 * 1024 };
    RecordDistributionLimits records {};
};

// An entry in the host list.
struct ListedHost {
    MemberId id;
    DataCentreId dataCentre;
    NetworkAddress peerAddress;
    bool isLeaving = false;
};

// Membership of the daemons on the entry hosts as known to this one, and the gossip protocol that spreads membership
// and new records. The cost of a gossip period does not depend on the number of members.
class Fleet {
public:
    // Sources of message contents. All are required.
    struct Hooks {
        std::function<ConfigurationDigest()> digest;
        // Records above a revision, in order of revision, up to a number of bytes but at least one if any exists.
        std::function<std::vector<Record>(Revision, ByteCount)> recordsSince;
        // Records that a member with another digest but the same highest revision may lack; successive calls rotate.
        std::function<std::vector<Record>(ByteCount)> recordsForRepair;
        // Loads of pools whose home is this process, up to the given number.
        std::function<std::vector<PoolLoadSummary>(std::size_t)> poolLoads;
        // Whether a peer should confirm this member's records soon. May be empty.
        std::function<bool()> wantsConfirmation {};
    };

    // `self` must carry its incarnation. Fleet owns its state and readiness from now on.
    Fleet(Member self, Hooks, FleetLimits = {});

    // Applies the host list, which may lag: it adds members that gossip has not reported yet and marks leaving ones. A
    // host that is no longer listed stays a member as long as messages from it arrive.
    std::vector<FleetAction> applyHostList(std::span<const ListedHost>, TimePoint now);
    // Addresses where other members may run, for platforms without a host list. Each is contacted until it has answered
    // once; gossip discovers the remaining members.
    std::vector<FleetAction> applySeeds(std::span<const NetworkAddress>, TimePoint now);
    // Regions of the data centres, from the topology record or the settings.
    void setRegions(std::map<DataCentreId, RegionId>);

    // Checks whether the process was paused. Every other call that takes a time does so too.
    std::vector<FleetAction> checkPause(TimePoint now);
    // To be called once per gossip period.
    std::vector<FleetAction> tick(DecisionContext);
    // Sends the records above `before`, which this member has read from the platform, to all members of its data centre
    // at once rather than in the exchanges of the next periods. Those that can forward them do so.
    std::vector<FleetAction> pushRecords(Revision before, TimePoint now);
    // Builds the request for an exchange that tick() or handle() returned.
    GossipMessage messageFor(const MemberId& peer, TimePoint now);
    // Handles a request from a peer or the reply to a request of this member.
    HandledGossip handle(const GossipMessage&, TimePoint now);
    // To be called after the actions of handle() have been carried out and before its reply is sent, so that the peer
    // learns whether its records were accepted.
    void updateDigest(GossipMessage& reply) const { reply.configuration = m_hooks.digest(); }
    // An exchange that tick() or handle() returned got no valid reply.
    std::vector<FleetAction> exchangeFailed(const MemberId&, TimePoint now);
    // The peer declined the exchange because its budget was exhausted, so it is alive.
    void exchangeRefused(const MemberId&, TimePoint now);
    // The exchange was not started because this member's budget was exhausted; says nothing about the peer.
    void exchangeNotSent(const MemberId&);
    // The request was sent without its records because the budget for them was exhausted.
    void recordsNotSent(const MemberId&);

    // This member's own state. Changes propagate by gossip.
    void setReady(bool);
    void announceLeaving();
    // Whether this member can read the platform. A watcher that cannot notifies its data centre at once, so that
    // another member takes over.
    std::vector<FleetAction> setCanReadPlatform(bool, TimePoint now);
    const Member& self() const { return m_self; }

    // The pool's home. Empty if its data centre has no live member, or if the home has not been confirmed since this
    // process started or resumed from a pause. The caller then places requests by its local data.
    std::optional<MemberId> homeOf(const PoolId&) const;
    // The `count` best candidates for the pool's home, confirmed or not, best first.
    std::vector<MemberId> homesRanked(const PoolId&, std::size_t count) const;
    // Whether this member watches the platform, as a few members of each data centre do. True if it knows no other
    // member.
    bool isWatcher() const;

    // Whether this member comes first in reading the platform for the whole fleet, so that the others need not. Members
    // that disagree read more often than necessary.
    bool isFirstReader() const { return firstReader() == nullptr; }

    // An unknown member counts as one of another region.
    MemberDistance distanceTo(const MemberId&) const;
    // Latest claim about another member; null if it is unknown.
    const Member* find(const MemberId&) const;
    // Latest claims about the other members that have run, gone ones included, ordered by id.
    std::vector<const Member*> others() const;
    // Known members, this one included.
    std::size_t size() const { return m_table.members().size() + 1; }
    // Members in this state, this one included. Listed hosts that have never been seen running do not count.
    std::size_t countInState(MemberState) const;

    // Interval between reads of the host list, so that all daemons together make at most 500 of the platform's 2,000
    // reads per second.
    Duration hostListPeriod() const;

private:
    // Summary of the candidates of one scope.
    struct Roster {
        std::uint64_t sum = 0; // Sum of the hashes of each candidate's id and incarnation.
        std::size_t unconfirmed = 0;
    };

    enum class RosterNeed { None, LocalDataCentre, All };

    // The newest claim about a member while it circulates.
    struct PendingClaim {
        std::uint32_t sent = 0; // Messages that carried it, or went to a peer that had it.
        // Made the member a candidate, so that a peer with the same roster has this claim or a later one.
        bool isInRoster = false;
    };

    // The members of one data centre.
    struct DataCentreView {
        std::vector<const TrackedMember*>* reachable = nullptr; // The list in Views for its distance.
        std::vector<const TrackedMember*> candidates;
        std::optional<Rendezvous> homes; // Built from the candidates on first use.
    };

    // Derived from the table; rebuilt on demand after a change.
    struct Views {
        bool isValid = false;
        std::map<DataCentreId, DataCentreView> dataCentres;
        std::vector<const TrackedMember*> local; // Reachable members of the local data centre.
        std::vector<const TrackedMember*> sameRegion; // Reachable, in other data centres of the local region.
        std::vector<const TrackedMember*> otherRegions; // Reachable, in other regions.
        std::vector<const TrackedMember*> listedUnreachable; // Not reachable but in the host list.
        std::vector<const TrackedMember*> roster; // Candidates, ordered by id.
        Roster localRoster; // Candidates of the local data centre, this member included.
        Roster fleetRoster;
        std::optional<bool> isWatcher; // Computed on first use.
    };

    static MemberId seedId(const NetworkAddress&);
    void removeSeed(const NetworkAddress&);
    void observe(TimePoint now, std::vector<FleetAction>&);
    void expireState(TimePoint now);
    bool merge(const Member& claim, TimePoint now);
    bool refute(const Member& claim, TimePoint now);
    // An earlier run has a higher incarnation if the clock of the host has been set back since. Returns false if the
    // claim is taken to be about a process that has been started after this one.
    bool raiseIncarnationAbove(const Member& laterRun, TimePoint now);
    void mergeMembers(const GossipMessage&, bool isFresh, TimePoint now);
    void confirm(TrackedMember&);
    void confirmRosters(const GossipMessage&);
    void followUp(const GossipMessage&, TimePoint now, HandledGossip&);
    void addRepair(GossipMessage& reply, const GossipMessage& request, TimePoint now) const;
    void continueRecordTransfer(const GossipMessage& reply, TimePoint now, std::vector<FleetAction>&);
    void receiveRecords(const GossipMessage&, TimePoint now, std::vector<FleetAction>&);
    void relay(const GossipMessage&, TimePoint now, std::vector<FleetAction>&);
    void pushTo(std::span<const MemberId>, Revision after, TimePoint now, std::vector<FleetAction>&);
    RecordReceiver receiverOf(const TrackedMember&, TimePoint now) const;
    void takeBackStalled(TimePoint now, std::vector<FleetAction>&);
    bool hasArrivedAt(const Member&, Revision theirs, TimePoint now) const;
    Revision observeRecords(TimePoint now);
    bool isLocal(const Member& member) const { return member.dataCentre == m_self.dataCentre; }
    void changeState(const MemberId&, MemberState, TimePoint now);
    void expireUnreachable(TimePoint now);
    void suspectSilent(TimePoint now);
    void startExchange(const TrackedMember*, TimePoint now, std::vector<FleetAction>&);
    const TrackedMember* nextLocalPeer(RandomEngine&);
    const TrackedMember* secondPeer(DecisionContext);
    const TrackedMember* peerToConfirm() const;
    const TrackedMember* firstReader() const; // Null if it is this member.
    bool isRemoteExchangeDue(RandomEngine&) const;
    // The reply to a member that is taken for an earlier run: what is known of the later one.
    GossipMessage replyWithClaim(const Member& claim) const;
    GossipMessage replyTo(const GossipMessage& request, TimePoint now);
    GossipMessage makeMessage(
        GossipMessage::Kind, const MemberId& peer, std::size_t claims, std::span<const Member> received);
    void addRecords(GossipMessage&, const MemberId& peer);
    void addPendingClaims(GossipMessage&, const MemberId& peer, std::size_t most, std::span<const Member> received);
    void countSends(const std::set<MemberId>& added, const MemberId& peer);
    void countReceived(const Member& claim);
    bool hasSameRoster(const MemberId& peer) const;
    void updateRosterPosition(const GossipMessage& reply);
    RosterNeed rosterNeed(const GossipMessage& request) const;
    void addRoster(GossipMessage&, const GossipMessage& request, RosterNeed);
    std::uint64_t hashOf(const Roster&) const;
    void markChanged();
    void reportChange(std::vector<FleetAction>&);
    Views& views() const;
    void addToViews(const TrackedMember&) const;
    DataCentreView& viewOf(const DataCentreId&) const;
    const Rendezvous* homesIn(const DataCentreId&) const;
    void addToRosters(const Member&, bool isConfirmed) const;
    const RegionId* regionOf(const DataCentreId&) const;
    bool isSelfCandidate() const;
    std::vector<MemberId> chooseWatchers() const;
    std::uint32_t sendsPerClaim() const;

    Member m_self;
    Hooks m_hooks;
    FleetLimits m_limits;
    MemberTable m_table;
    PauseDetector m_pauses;
    std::map<DataCentreId, RegionId> m_regions;
    std::optional<TimePoint> m_startedAt; // Of the first call; empty before.
    TimePoint m_resumedAt; // End of the last pause.
    // No reply to an exchange started after the last pause has arrived yet.
    bool m_isSelfExpired = false;
    bool m_isSelfListedLeaving = false;
    bool m_hasChanged = false; // Since MembersChanged was last reported.
    std::uint64_t m_periods = 0;
    bool m_hasFollowedUp = false; // In this period.
    std::map<MemberId, TimePoint> m_exchanges; // Start times of the exchanges in flight.
    RecordDistribution m_records;
    Era m_era; // Of the highest revision held.
    std::optional<TimePoint> m_eraSeenAt; // When the first record of it was held.
    std::map<MemberId, PendingClaim> m_pendingClaims;
    std::set<MemberId> m_unreachable; // Suspect or gone.
    std::vector<MemberId> m_retries; // Members with one failed exchange.
    std::vector<MemberId> m_localOrder; // Members of the local data centre still to be contacted in this round.
    MemberId m_lastRosterSent; // Last candidate sent to a peer that gave no position.
    MemberId m_lastRosterReceived; // Last candidate received; empty while the peers' rosters match this one's.
    mutable Views m_views;
};

} // namespace dogwoodhall
