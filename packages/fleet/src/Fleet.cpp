#include "dogwoodhall/fleet/Fleet.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace dogwoodhall {

Fleet::Fleet(Member self, Hooks hooks, FleetLimits limits)
    : m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_limits(limits)
    , m_records(limits.records)
{
}

std::vector<FleetAction> Fleet::applyHostList(std::span<const ListedHost> hosts, TimePoint now)
{
    std::vector<FleetAction> actions;
    observe(now, actions);
    for (auto& [id, tracked] : m_table.members())
        tracked.isListed = false;
    for (const auto& host : hosts) {
        if (host.id == m_self.id) {
            m_isSelfListedLeaving = host.isLeaving;
            continue;
        }
        Member member;
        member.id = host.id;
        member.dataCentre = host.dataCentre;
        member.peerAddress = host.peerAddress;
        auto& tracked = m_table.addListed(member, now);
        tracked.isListed = true;
        tracked.isListedLeaving = host.isLeaving;
    }
    std::erase_if(m_table.members(), [](const auto& item) { return !item.second.isListed && !item.second.hasRun(); });
    markChanged();
    reportChange(actions);
    return actions;
}

std::vector<FleetAction> Fleet::applySeeds(std::span<const NetworkAddress> seeds, TimePoint now)
{
    std::vector<ListedHost> hosts;
    for (const auto& address : seeds) {
        if (address != m_self.peerAddress)
            hosts.push_back({ seedId(address), {}, address, false });
    }
    return applyHostList(hosts, now);
}

void Fleet::setRegions(std::map<DataCentreId, RegionId> regions)
{
    m_regions = std::move(regions);
    m_views.isValid = false;
}

std::vector<FleetAction> Fleet::checkPause(TimePoint now)
{
    std::vector<FleetAction> actions;
    observe(now, actions);
    reportChange(actions);
    return actions;
}

std::vector<FleetAction> Fleet::tick(DecisionContext context)
{
    std::vector<FleetAction> actions;
    observe(context.now, actions);
    ++m_periods;
    m_hasFollowedUp = false;
    observeRecords(context.now);
    for (const auto& peer : m_records.takeDeferred())
        startExchange(m_table.find(peer), context.now, actions);
    takeBackStalled(context.now, actions);
    expireUnreachable(context.now);
    if (m_periods % m_limits.unreachableRetryPeriods == 0)
        suspectSilent(context.now);
    const auto* first = nextLocalPeer(context.random);
    startExchange(first, context.now, actions);
    const auto* second = secondPeer(context);
    if (second != first)
        startExchange(second, context.now, actions);
    if (m_hooks.wantsConfirmation && m_hooks.wantsConfirmation())
        startExchange(peerToConfirm(), context.now, actions);
    reportChange(actions);
    return actions;
}

HandledGossip Fleet::handle(const GossipMessage& message, TimePoint now)
{
    HandledGossip handled;
    observe(now, handled.actions);
    const bool isReply = message.kind == GossipMessage::Kind::Reply;
    const auto started = m_exchanges.find(message.sender.id);
    const bool isFreshReply = isReply && started != m_exchanges.end() && started->second >= m_resumedAt;
    if (isReply && started != m_exchanges.end())
        m_exchanges.erase(started);
    const auto* known = m_table.find(message.sender.id);
    const bool isEarlierRun = known && known->member.incarnation > message.sender.incarnation;
    if (message.sender.id == m_self.id || isEarlierRun) {
        // The sender may also be a later run that was started after its clock had been set back.
        if (isEarlierRun && !isReply)
            handled.reply = replyWithClaim(known->member);
        reportChange(handled.actions);
        return handled;
    }
    if (isFreshReply && m_isSelfExpired) {
        m_isSelfExpired = false;
        markChanged();
    }
    removeSeed(message.sender.peerAddress);
    // A request that was queued in a socket while this process was paused confirms nothing.
    mergeMembers(message, isFreshReply || !m_isSelfExpired, now);
    receiveRecords(message, now, handled.actions);
    if (!message.poolLoads.empty())
        handled.actions.emplace_back(ObservePoolLoads { message.sender.id, message.poolLoads });
    if (isReply)
        continueRecordTransfer(message, now, handled.actions);
    followUp(message, now, handled);
    reportChange(handled.actions);
    return handled;
}

void Fleet::followUp(const GossipMessage& message, TimePoint now, HandledGossip& handled)
{
    const auto mine = m_hooks.digest();
    const auto& theirs = message.configuration;
    const bool isBehind = !hasArrivedAt(message.sender, theirs.highest, now);
    if (message.kind == GossipMessage::Kind::Request) {
        if (isBehind)
            m_records.add(message.sender.id, { theirs.highest, {} });
        handled.reply = replyTo(message, now);
        if (theirs.hash != mine.hash)
            addRepair(*handled.reply, message, now);
        return;
    }
    updateRosterPosition(message);
    const bool suspectsSelf = std::any_of(message.members.begin(), message.members.end(),
        [&](const Member& claim) { return claim.id == m_self.id && claim.incarnation == m_self.incarnation; });
    if (m_hasFollowedUp || !(isBehind || suspectsSelf))
        return;
    m_hasFollowedUp = true;
    if (isBehind)
        m_records.add(message.sender.id, { theirs.highest, {} });
    startExchange(m_table.find(message.sender.id), now, handled.actions);
}

// Soon after the store came back from an older copy, or for a member that has started since, the records of earlier
// eras that stay in force cannot wait until both have the same highest revision.
void Fleet::addRepair(GossipMessage& reply, const GossipMessage& request, TimePoint now) const
{
    const Revision theirs = request.configuration.highest;
    const bool isAsHigh = theirs == m_hooks.digest().highest;
    const bool namesNoEra = theirs.era() == Era();
    const auto* requester = m_table.find(request.sender.id);
    const bool hasStarted = requester && now - requester->runFirstSeenAt < m_limits.joinWindow;
    const bool hasEraBegun = m_eraSeenAt && now - *m_eraSeenAt < m_limits.joinWindow;
    if (isAsHigh ? !reply.records.empty() : namesNoEra || !(hasStarted || hasEraBegun))
        return;
    auto records = m_hooks.recordsForRepair(m_limits.maxRecordBytes);
    // Records of the requester's era above its highest revision would hide that it lacks those in between.
    if (!isAsHigh)
        std::erase_if(records, [&](const Record& it) { return it.revision.era() >= theirs.era(); });
    // Those of earlier eras come before a sequence of its own era, with which they must go: the requester takes the
    // reply for an answer.
    reply.records.insert(reply.records.begin(), records.begin(), records.end());
}

// The records that the message would have carried are still due.
void Fleet::exchangeNotSent(const MemberId& id)
{
    m_exchanges.erase(id);
    m_records.requestNotSent(id);
}

void Fleet::exchangeRefused(const MemberId& id, TimePoint now)
{
    const auto started = m_exchanges.find(id);
    // An answer to an exchange from before a pause of this process says nothing about the current state.
    const bool isFresh = started != m_exchanges.end() && started->second >= m_resumedAt;
    if (started != m_exchanges.end())
        m_exchanges.erase(started);
    m_records.deferRecords(id);
    if (isFresh)
        m_table.recordContact(id, now);
}

std::vector<FleetAction> Fleet::exchangeFailed(const MemberId& id, TimePoint now)
{
    std::vector<FleetAction> actions;
    observe(now, actions);
    const auto canceled = m_records.cancel(id);
    const auto started = m_exchanges.find(id);
    const bool isFresh = started != m_exchanges.end() && started->second >= m_resumedAt;
    if (started != m_exchanges.end())
        m_exchanges.erase(started);
    auto* tracked = m_table.find(id);
    // If a pause of this process interrupted the exchange, its failure says nothing about the peer.
    if (!tracked || !isFresh) {
        pushTo(canceled.relayTo, canceled.after, now, actions);
        reportChange(actions);
        return actions;
    }
    ++tracked->failures;
    pushTo(canceled.relayTo, canceled.after, now, actions);
    if (!tracked->hasRun()) {
        m_views.isValid = false;
    } else if (tracked->member.state == MemberState::Leaving) {
        changeState(id, MemberState::Gone, now);
    } else if (tracked->member.state == MemberState::Alive) {
        // One lost message must not move homes, so only the second consecutive failure counts.
        if (tracked->failures < 2)
            m_retries.push_back(id);
        else
            changeState(id, MemberState::Suspect, now);
    }
    reportChange(actions);
    return actions;
}

void Fleet::setReady(bool isReady)
{
    if (m_self.isReady == isReady)
        return;
    m_self.isReady = isReady;
    ++m_self.version;
    markChanged();
}

void Fleet::announceLeaving()
{
    if (m_self.state == MemberState::Leaving)
        return;
    m_self.state = MemberState::Leaving;
    ++m_self.version;
    markChanged();
}

std::vector<FleetAction> Fleet::setCanReadPlatform(bool canRead, TimePoint now)
{
    std::vector<FleetAction> actions;
    if (m_self.canReadPlatform == canRead)
        return actions;
    const bool wasWatcher = isWatcher();
    m_self.canReadPlatform = canRead;
    ++m_self.version;
    markChanged();
    for (const auto* tracked : views().local) {
        if (wasWatcher && tracked->hasRun())
            startExchange(tracked, now, actions);
    }
    reportChange(actions);
    return actions;
}

const Member* Fleet::find(const MemberId& id) const
{
    const auto* tracked = m_table.find(id);
    return tracked ? &tracked->member : nullptr;
}

std::vector<const Member*> Fleet::others() const
{
    std::vector<const Member*> members;
    for (const auto& [id, tracked] : m_table.members()) {
        if (tracked.hasRun())
            members.push_back(&tracked.member);
    }
    return members;
}

// A seed is kept in the table under an id made from its address until the member there has announced its own id.
MemberId Fleet::seedId(const NetworkAddress& address) { return MemberId("seed-" + toString(address)); }

void Fleet::removeSeed(const NetworkAddress& address)
{
    const auto id = seedId(address);
    if (!m_table.find(id))
        return;
    m_exchanges.erase(id);
    m_table.remove(id);
    markChanged();
}

std::size_t Fleet::countInState(MemberState state) const
{
    const auto& members = m_table.members();
    const auto others = std::count_if(members.begin(), members.end(),
        [&](const auto& item) { return item.second.hasRun() && item.second.member.state == state; });
    return static_cast<std::size_t>(others) + (m_self.state == state ? 1 : 0);
}

Duration Fleet::hostListPeriod() const
{
    constexpr Duration shortest = std::chrono::seconds(1);
    constexpr Duration perMember = std::chrono::milliseconds(2);
    return std::max(shortest, perMember * static_cast<std::int64_t>(size()));
}

void Fleet::markChanged()
{
    m_views.isValid = false;
    m_hasChanged = true;
}

void Fleet::reportChange(std::vector<FleetAction>& actions)
{
    if (std::exchange(m_hasChanged, false))
        actions.emplace_back(MembersChanged {});
}

std::uint32_t Fleet::sendsPerClaim() const
{
    // With s sends by each member, about one member in e^s misses a claim, which is less than one member of the fleet.
    // The comparison of rosters repairs the rest. More sends would delay other claims after a mass restart, when
    // messages are full.
    return static_cast<std::uint32_t>(std::bit_width(size())) + 1;
}

} // namespace dogwoodhall
