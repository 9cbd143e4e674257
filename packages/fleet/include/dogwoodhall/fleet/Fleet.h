#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/fleet/FleetActions.h"
#include "dogwoodhall/fleet/MemberTable.h"
#include "dogwoodhall/fleet/PauseDetector.h"
#include "dogwoodhall/fleet/Rendezvous.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace dogwoodhall {

struct FleetLimits {
    Duration gossipPeriod = std::chrono::milliseconds(500);
    // Time for the suspicion to reach the member and for its refutation to come back in a large fleet.
    Duration suspectTimeout = std::chrono::seconds(10);
    // Silence of a member of the own data centre before suspicion where no exchange has failed. Each of them is visited
    // once in a round of as many periods as there are members, so two rounds are the longest gap between visits.
    Duration silentAfter = std::chrono::seconds(10);
    Duration silentAfterPerMember = std::chrono::seconds(2);
    // Gone members are remembered for longer than claims about them circulate.
    Duration forgetAfter = std::chrono::seconds(60);
    // One exchange in this many periods goes to a suspect or gone member that the host list still names, so that the
    // sides of a split find each other again.
    unsigned retryPeriods = 10;
    // One exchange in this many periods goes to another region, where there is one.
    unsigned otherRegionPeriods = 4;
    // Exchanges with other data centres that the members of one begin in a period, on average; their links are paid for
    // by volume. Empty: one for each member.
    std::optional<double> farExchangesPerDataCentre {};
    std::size_t watchersPerDataCentre = 2;
    // Members of a data centre that hand the watch on because the platform turns them away. Where more are, the
    // platform is down, and calls of further members would be in vain.
    std::size_t mostTurnedAway = 3;
    // With 8 messages sent a second (two exchanges a period, requests and replies), 16 updates of about 60 bytes stay
    // below 8 KB/s of the daemon's 14 KB/s.
    std::size_t maxMemberUpdates = 16;
    // Of these, kept for the member list in a reply to a member that has started within joinTime and whose view of the
    // list differs, so that claims that circulate after a restart of the fleet do not hold it up. The rest is for
    // claims.
    std::size_t rosterRoom = 12;
    // About what the whole list of 3,000 members takes in parts of 12, at four replies a second.
    Duration joinTime = std::chrono::seconds(60);
    std::size_t maxPoolLoads = 8;
    ByteCount maxRecordBytes { 8 * 1024 };
};

// An entry host as the host list names it.
struct ListedHost {
    MemberId id;
    DataCentreId dataCentre;
    NetworkAddress peerAddress;
    bool isLeaving = false;
};

// The entry hosts' daemons as this one knows them, and the gossip by which they learn of one another and of new
// records. The cost of a period does not depend on the number of members.
class Fleet {
public:
    // Sources for the messages. Each is required.
    struct Hooks {
        std::function<ConfigurationDigest()> digest;
        // Records above a revision in order of revision, up to a number of bytes but at least one where there is one.
        std::function<std::vector<Record>(Revision, ByteCount)> recordsSince;
        // Records in force of keys whose newest record is rejected; others in turn with each call.
        std::function<std::vector<Record>(ByteCount)> recordsUnderRejections;
        // Load of the pools whose home is this process, at most so many.
        std::function<std::vector<PoolLoadSummary>(std::size_t)> poolLoads;
    };

    // `self` with its incarnation; its state and readiness are kept here from now on.
    Fleet(Member self, Hooks, FleetLimits = {});

    // Entry hosts of the host list, which lags: it adds members that gossip has not named and marks leaving ones. A
    // host that is no longer listed stays a member as long as it is heard.
    std::vector<FleetAction> applyHostList(std::span<const ListedHost>, TimePoint now);
    // Addresses where other members may run, for platforms without a host list. Each is tried until it has answered
    // once; members learn the rest from one another.
    std::vector<FleetAction> applySeeds(std::span<const NetworkAddress>, TimePoint now);
    // Regions of the data centres, from the topology record or the settings.
    void setRegions(std::map<DataCentreId, RegionId>);

    // Looks for a pause of the process, as every other call does that takes a time.
    std::vector<FleetAction> checkPause(TimePoint now);
    // Called once in each gossip period.
    std::vector<FleetAction> tick(DecisionContext);
    // This member has read records above `before` from the platform: passes them on to its data centre's members at
    // once. Without it they learn of them by the exchanges of their next periods.
    std::vector<FleetAction> spreadRecords(Revision before, TimePoint now);
    // The request for an exchange that tick() or handle() asked for.
    GossipMessage messageFor(const MemberId& peer, TimePoint now);
    // A request from a peer, or the reply to this member's request.
    HandledGossip handle(const GossipMessage&, TimePoint now);
    // To be called before the reply of handle() is sent, once its actions have been carried out: the peer learns then
    // whether its records were taken.
    void updateDigest(GossipMessage& reply) const { reply.configuration = m_hooks.digest(); }
    // The exchange that tick() or handle() asked for got no valid reply.
    std::vector<FleetAction> exchangeFailed(const MemberId&, TimePoint now);
    // The peer answered without news, as its budget was spent: it is alive.
    void exchangeRefused(const MemberId&, TimePoint now);
    // The exchange was not begun for lack of budget, which says nothing about the peer.
    void exchangeNotSent(const MemberId& id) { m_exchanges.erase(id); }

    // This member's own state. A change is spread by gossip.
    void setReady(bool);
    void announceLeaving();
    // Whether this member can read the platform. A watcher that cannot tells its data centre at once, so that another
    // member takes over.
    std::vector<FleetAction> setCanReadPlatform(bool, TimePoint now);
    const Member& self() const { return m_self; }

    // The pool's home. Empty where its data centre has no live member, and where the home has not been heard of since
    // this process started or woke from a pause: the caller then places by its own knowledge.
    std::optional<MemberId> homeOf(const PoolId&) const;
    // The best `count` candidates for the pool's home, confirmed or not, from the best downwards.
    std::vector<MemberId> homesRanked(const PoolId&, std::size_t count) const;
    // True where this member is to watch the platform: one of few in its data centre. Also where it knows no other.
    bool isWatcher() const;

    // Claim about a known member other than this one; null where it is unknown.
    const Member* find(const MemberId&) const;
    // Claims about the other members that have been heard of, gone ones included, by id.
    std::vector<const Member*> others() const;
    // Known members, this one included.
    std::size_t size() const { return m_table.members().size() + 1; }
    // Members in this state, this one included; without listed hosts that were never heard of.
    std::size_t countIn(MemberState) const;

    // How often this daemon may read the host list, so that all daemons together make at most 500 of the platform's
    // 2,000 reads a second.
    Duration hostListPeriod() const;

private:
    // Candidates of one scope in sum.
    struct Roster {
        std::uint64_t sum = 0; // Of a hash of each candidate's id and incarnation.
        std::size_t unconfirmed = 0;
    };

    enum class RosterNeed { None, OwnDataCentre, All };

    // What is known of one data centre.
    struct Zone {
        std::vector<const TrackedMember*>* reachable = nullptr; // Of the lists in Views, the one for its distance.
        std::vector<const TrackedMember*> candidates;
        std::optional<Rendezvous> homes; // Made from the candidates when first asked for.
    };

    // Derived from the table; rebuilt on demand after a change.
    struct Views {
        bool isValid = false;
        std::map<DataCentreId, Zone> zones;
        std::vector<const TrackedMember*> own; // Reachable members of the own data centre.
        std::vector<const TrackedMember*> region; // Of the own region's other data centres.
        std::vector<const TrackedMember*> others; // Of other regions.
        std::vector<const TrackedMember*> lost; // Not reachable, and in the host list.
        std::vector<const TrackedMember*> roster; // Candidates, in order of their ids.
        Roster ownRoster; // The candidates of the own data centre, this member included.
        Roster fleetRoster;
        std::optional<bool> isWatcher; // Worked out when first asked for.
    };

    static MemberId seedId(const NetworkAddress&);
    void removeSeed(const NetworkAddress&);
    void observe(TimePoint now, std::vector<FleetAction>&);
    void expireState(TimePoint now);
    bool merge(const Member& claim, TimePoint now);
    bool refute(const Member& claim);
    void mergeMembers(const GossipMessage&, bool isFresh, TimePoint now);
    void confirm(TrackedMember&);
    void confirmRosters(const GossipMessage&);
    void followUp(const GossipMessage&, TimePoint now, HandledGossip&);
    void continueRecords(const GossipMessage& reply, TimePoint now, std::vector<FleetAction>&);
    void changeState(const MemberId&, MemberState, TimePoint now);
    void ageUnreachable(TimePoint now);
    void suspectSilent(TimePoint now);
    void startExchange(const TrackedMember*, TimePoint now, std::vector<FleetAction>&);
    const TrackedMember* nextOwn(RandomEngine&);
    const TrackedMember* secondPeer(DecisionContext);
    bool isFarExchangeDue(RandomEngine&) const;
    GossipMessage replyTo(const GossipMessage& request, TimePoint now);
    GossipMessage makeMessage(GossipMessage::Kind, const MemberId& peer, std::size_t claims);
    void addPendingClaims(GossipMessage&, const MemberId& peer, std::size_t most);
    void noteRoster(const GossipMessage& reply);
    RosterNeed rosterNeed(const GossipMessage& request) const;
    void addRoster(GossipMessage&, const GossipMessage& request, RosterNeed);
    std::uint64_t hashOf(const Roster&) const;
    void noteChange();
    void reportChange(std::vector<FleetAction>&);
    Views& views() const;
    void addToViews(const TrackedMember&) const;
    Zone& zoneOf(const DataCentreId&) const;
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
    TimePoint m_wokeAt; // End of the last pause.
    // No reply to an exchange begun after the last pause has come yet.
    bool m_isSelfExpired = false;
    bool m_isSelfListedLeaving = false;
    bool m_hasChanged = false; // Since MembersChanged was last reported.
    std::uint64_t m_periods = 0;
    bool m_hasFollowedUp = false; // In this period.
    std::map<MemberId, TimePoint> m_exchanges; // Start of the exchanges under way.
    std::map<MemberId, Revision> m_behind; // Peers that need the records above these revisions.
    std::map<MemberId, Revision> m_sentAfter; // The same of requests under way that carry records.
    std::map<MemberId, std::uint32_t> m_pendingClaims; // Messages that carried the newest claim, while it circulates.
    std::set<MemberId> m_unreachable; // Suspect or gone.
    std::vector<MemberId> m_retries; // Members with one failed exchange.
    std::vector<MemberId> m_ownOrder; // Members of the own data centre still to be visited in this round.
    MemberId m_rosterSent; // Last candidate sent to a peer that did not name one.
    MemberId m_rosterReceived; // Last candidate received; empty while the peers' rosters equal this one's.
    mutable Views m_views;
};

} // namespace dogwoodhall
