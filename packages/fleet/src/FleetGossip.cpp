// The part of Fleet that builds messages and merges those received from peers.
#include "dogwoodhall/fleet/Fleet.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace dogwoodhall {

void Fleet::observe(TimePoint now, std::vector<FleetAction>& actions)
{
    m_startedAt = m_startedAt.value_or(now);
    const auto gap = m_pauses.observe(now);
    if (!gap)
        return;
    expireState(now);
    actions.emplace_back(StateExpired { *gap });
}

// Claims from before the pause are neither used nor forwarded. Silence during the pause was caused by this process, so
// it does not count against the other members.
void Fleet::expireState(TimePoint now)
{
    m_resumedAt = now;
    m_pendingClaims.clear();
    m_records.clear();
    m_retries.clear();
    bool hasPeers = false;
    for (auto& [id, tracked] : m_table.members()) {
        hasPeers = hasPeers || (tracked.isReachable() && tracked.hasRun());
        tracked.isConfirmed = false;
        tracked.lastHeard = now;
        tracked.stateSince = now;
        tracked.failures = 0;
    }
    m_isSelfExpired = hasPeers;
    markChanged();
}

bool Fleet::merge(const Member& claim, TimePoint now)
{
    const auto* known = m_table.find(claim.id);
    const bool isNewRun = !known || known->member.incarnation != claim.incarnation;
    // A refutation is not in the roster of a peer that missed the suspicion.
    const bool becomesReady = known && known->member.state == MemberState::Alive && !known->member.isReady;
    if (!m_table.merge(claim, now))
        return false;
    m_pendingClaims[claim.id] = { 0, (isNewRun || becomesReady) && m_table.find(claim.id)->isCandidate() };
    if (claim.state == MemberState::Suspect || claim.state == MemberState::Gone)
        m_unreachable.insert(claim.id);
    else
        m_unreachable.erase(claim.id);
    markChanged();
    return true;
}

// Raises this member's version above that of a claim that it is suspect or gone, or its incarnation above that of a
// claim about an earlier run.
bool Fleet::refute(const Member& claim, TimePoint now)
{
    if (claim.incarnation > m_self.incarnation)
        return raiseIncarnationAbove(claim, now);
    const bool isSuspicion = claim.state == MemberState::Suspect || claim.state == MemberState::Gone;
    const bool isCurrent = claim.incarnation == m_self.incarnation && claim.version >= m_self.version;
    if (!isSuspicion || !isCurrent || claim.version == std::numeric_limits<std::uint32_t>::max())
        return false;
    m_self.version = claim.version + 1;
    return true;
}

// A process that runs for longer has been replaced by another one under its id.
bool Fleet::raiseIncarnationAbove(const Member& laterRun, TimePoint now)
{
    const bool hasJustStarted = now - m_startedAt.value_or(now) < m_limits.joinWindow;
    if (!hasJustStarted || laterRun.incarnation.value() == std::numeric_limits<std::uint64_t>::max())
        return false;
    m_self.incarnation = Incarnation(laterRun.incarnation.value() + 1);
    markChanged();
    return true;
}

void Fleet::mergeMembers(const GossipMessage& message, bool isFresh, TimePoint now)
{
    merge(message.sender, now);
    m_table.recordContact(message.sender.id, now);
    if (auto* sender = m_table.find(message.sender.id)) {
        // A claim that a member of an earlier version has passed on does not contain it.
        sender->member.relaysRecords = message.sender.relaysRecords;
        sender->fleetRoster = message.fleetRoster;
    }
    const auto confirmClaim = [&](const Member& claim) {
        auto* tracked = m_table.find(claim.id);
        if (isFresh && tracked && isSameClaim(tracked->member, claim) && tracked->isReachable())
            confirm(*tracked);
    };
    for (const auto& claim : message.members) {
        if (claim.id == m_self.id) {
            refute(claim, now);
            continue;
        }
        if (!merge(claim, now))
            countReceived(claim);
        confirmClaim(claim);
    }
    confirmClaim(message.sender);
    if (isFresh)
        confirmRosters(message);
}

void Fleet::confirm(TrackedMember& tracked)
{
    if (tracked.isConfirmed)
        return;
    tracked.isConfirmed = true;
    m_hasChanged = true;
    if (!m_views.isValid || !tracked.isCandidate())
        return;
    --m_views.fleetRoster.unconfirmed;
    if (tracked.member.dataCentre == m_self.dataCentre)
        --m_views.localRoster.unconfirmed;
}

// A peer that has confirmed all members in a scope, and has the same roster, confirms them for this member too.
void Fleet::confirmRosters(const GossipMessage& message)
{
    const auto& current = views();
    const bool isNeighbour = message.sender.dataCentre == m_self.dataCentre;
    const bool confirmsLocal = isNeighbour && message.dataCentreRoster != 0 && current.localRoster.unconfirmed > 0
        && current.localRoster.sum == message.dataCentreRoster;
    const bool confirmsAll = message.fleetRoster != 0 && current.fleetRoster.unconfirmed > 0
        && current.fleetRoster.sum == message.fleetRoster;
    if (!confirmsLocal && !confirmsAll)
        return;
    for (const auto* tracked : current.roster) {
        if (confirmsAll || tracked->member.dataCentre == m_self.dataCentre)
            confirm(*m_table.find(tracked->member.id));
    }
}

std::uint64_t Fleet::hashOf(const Roster& roster) const
{
    return m_isSelfExpired || roster.unconfirmed > 0 ? 0 : roster.sum;
}

GossipMessage Fleet::messageFor(const MemberId& peer, TimePoint)
{
    return makeMessage(GossipMessage::Kind::Request, peer, m_limits.maxMemberUpdates, {});
}

// Reserves updates for the roster only if the requester has started recently. The rosters of other members differ
// because of circulating claims, and refutations of suspicions among those are urgent.
GossipMessage Fleet::replyTo(const GossipMessage& request, TimePoint now)
{
    const RosterNeed need = rosterNeed(request);
    const auto* requester = m_table.find(request.sender.id);
    const bool isNew = requester && now - requester->runFirstSeenAt < m_limits.joinWindow;
    const std::size_t room = need != RosterNeed::None && isNew ? m_limits.reservedRosterUpdates : 0;
    auto reply
        = makeMessage(GossipMessage::Kind::Reply, request.sender.id, m_limits.maxMemberUpdates - room, request.members);
    if (need != RosterNeed::None)
        addRoster(reply, request, need);
    return reply;
}

GossipMessage Fleet::replyWithClaim(const Member& claim) const
{
    GossipMessage reply;
    reply.kind = GossipMessage::Kind::Reply;
    reply.sender = m_self;
    reply.configuration = m_hooks.digest();
    reply.members.push_back(claim);
    return reply;
}

GossipMessage Fleet::makeMessage(
    GossipMessage::Kind kind, const MemberId& peer, std::size_t claims, std::span<const Member> received)
{
    GossipMessage message;
    message.kind = kind;
    message.sender = m_self;
    message.configuration = m_hooks.digest();
    message.dataCentreRoster = hashOf(views().localRoster);
    message.fleetRoster = hashOf(views().fleetRoster);
    if (kind == GossipMessage::Kind::Request)
        message.rosterAfter = m_lastRosterReceived;
    message.poolLoads = m_hooks.poolLoads(m_limits.maxPoolLoads);
    const auto* tracked = m_table.find(peer);
    message.compressesRecords = tracked && tracked->member.relaysRecords;
    addRecords(message, peer);
    addPendingClaims(message, peer, claims, received);
    return message;
}

void Fleet::addRecords(GossipMessage& message, const MemberId& peer)
{
    const bool isRequest = message.kind == GossipMessage::Kind::Request;
    auto delivery = isRequest ? m_records.takeForRequest(peer) : m_records.takeForReply(peer);
    if (!delivery)
        return;
    // Compressed lists of small records are less than a quarter as long.
    const std::uint64_t parts = message.compressesRecords ? 4 : 1;
    message.records = m_hooks.recordsSince(delivery->after, ByteCount(parts * m_limits.maxRecordBytes.count()));
    message.recordsAfter = delivery->after;
    for (const auto& id : delivery->relayTo) {
        if (const auto* receiver = m_table.find(id))
            message.relayTo.push_back(receiver->member);
    }
}

// Leaves out the claims that the peer has just sent.
void Fleet::addPendingClaims(
    GossipMessage& message, const MemberId& peer, std::size_t most, std::span<const Member> received)
{
    // A suspicion of the peer itself comes first, so that it can refute it.
    const auto* tracked = m_table.find(peer);
    if (tracked && !tracked->isReachable())
        message.members.push_back(tracked->member);
    std::set<MemberId> excluded { peer };
    for (const auto& claim : received) {
        const auto* known = m_table.find(claim.id);
        if (known && isSameClaim(known->member, claim))
            excluded.insert(claim.id);
    }
    std::vector<std::pair<std::uint32_t, MemberId>> pending;
    for (const auto& [id, claim] : m_pendingClaims) {
        if (!excluded.contains(id))
            pending.emplace_back(claim.sent, id);
    }
    const std::size_t room = most - message.members.size();
    if (pending.size() > room) {
        std::nth_element(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(room), pending.end());
        pending.resize(room);
    }
    std::set<MemberId> added;
    for (const auto& [sent, id] : pending) {
        if (const auto* claimed = m_table.find(id))
            message.members.push_back(claimed->member);
        added.insert(id);
    }
    countSends(added, peer);
}

void Fleet::countSends(const std::set<MemberId>& added, const MemberId& peer)
{
    const bool hasRoster = hasSameRoster(peer);
    for (auto it = m_pendingClaims.begin(); it != m_pendingClaims.end();) {
        auto& [id, claim] = *it;
        if (added.contains(id) || (hasRoster && claim.isInRoster))
            ++claim.sent;
        it = claim.sent >= sendsPerClaim() ? m_pendingClaims.erase(it) : std::next(it);
    }
}

// Counts only claims in the roster, which repairs a member that misses one.
void Fleet::countReceived(const Member& claim)
{
    const auto pending = m_pendingClaims.find(claim.id);
    const auto* known = m_table.find(claim.id);
    if (pending == m_pendingClaims.end() || !pending->second.isInRoster)
        return;
    if (!known || !isSameClaim(claim, known->member))
        return;
    if (++pending->second.sent >= sendsPerClaim())
        m_pendingClaims.erase(pending);
}

bool Fleet::hasSameRoster(const MemberId& peer) const
{
    const auto* tracked = m_table.find(peer);
    return tracked && tracked->fleetRoster != 0 && tracked->fleetRoster == views().fleetRoster.sum;
}

void Fleet::updateRosterPosition(const GossipMessage& reply)
{
    if (reply.fleetRoster == views().fleetRoster.sum)
        m_lastRosterReceived = MemberId();
    else if (!reply.members.empty())
        m_lastRosterReceived = reply.members.back().id;
}

// The scope in which the requester's roster is incomplete: first the data centre if both share it, then the fleet.
Fleet::RosterNeed Fleet::rosterNeed(const GossipMessage& request) const
{
    const auto& current = views();
    const bool isNeighbour = request.sender.dataCentre == m_self.dataCentre;
    if (isNeighbour && request.dataCentreRoster != current.localRoster.sum)
        return RosterNeed::LocalDataCentre;
    return request.fleetRoster == current.fleetRoster.sum ? RosterNeed::None : RosterNeed::All;
}

// Appends the next part of the confirmed candidates that the requester needs.
void Fleet::addRoster(GossipMessage& message, const GossipMessage& request, RosterNeed need)
{
    const auto& roster = views().roster;
    const auto& after = request.rosterAfter == MemberId() ? m_lastRosterSent : request.rosterAfter;
    auto it = std::upper_bound(roster.begin(), roster.end(), after,
        [](const MemberId& id, const TrackedMember* tracked) { return id < tracked->member.id; });
    for (std::size_t n = 0; n < roster.size() && message.members.size() < m_limits.maxMemberUpdates; ++n, ++it) {
        if (it == roster.end())
            it = roster.begin();
        const auto& member = (*it)->member;
        m_lastRosterSent = member.id;
        const bool isWanted = need == RosterNeed::All || member.dataCentre == m_self.dataCentre;
        if (isWanted && (*it)->isConfirmed && member.id != request.sender.id)
            message.members.push_back(member);
    }
}

} // namespace dogwoodhall
