// The part of Fleet that chooses peers, ages states and derives homes and watchers from the table.
#include "dogwoodhall/fleet/Fleet.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dogwoodhall {

namespace {

std::uint64_t rosterEntry(const Member& member) { return stableHash(member.id.value(), member.incarnation.value()); }

std::uint64_t keyOf(const PoolId& pool)
{
    return stableHash(pool.service.value(), stableHash(pool.dataCentre.value()));
}

const TrackedMember* randomOf(const std::vector<const TrackedMember*>& members, RandomEngine& random)
{
    if (members.empty())
        return nullptr;
    return members[std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(random)];
}

} // namespace

void Fleet::changeState(const MemberId& id, MemberState state, TimePoint now)
{
    if (!m_table.setState(id, state, now))
        return;
    m_pendingClaims[id] = 0;
    m_unreachable.insert(id);
    noteChange();
}

void Fleet::ageUnreachable(TimePoint now)
{
    const std::vector<MemberId> unreachable(m_unreachable.begin(), m_unreachable.end());
    for (const auto& id : unreachable) {
        const auto* tracked = m_table.find(id);
        const Duration age = tracked ? now - tracked->stateSince : Duration();
        if (tracked && tracked->member.state == MemberState::Suspect && age >= m_limits.suspectTimeout) {
            changeState(id, MemberState::Gone, now);
        } else if (tracked && !tracked->isListed && tracked->member.state == MemberState::Gone
            && age >= m_limits.forgetAfter) {
            m_table.remove(id);
            noteChange();
            tracked = nullptr;
        }
        if (!tracked)
            m_unreachable.erase(id);
    }
}

void Fleet::suspectSilent(TimePoint now)
{
    const Duration limit
        = m_limits.silentAfter + m_limits.silentAfterPerMember * static_cast<std::int64_t>(views().own.size());
    std::vector<std::pair<MemberId, MemberState>> silent;
    for (const auto* tracked : views().own) {
        if (!tracked->hasRun() || now - tracked->lastHeard < limit)
            continue;
        const bool isLeaving = tracked->member.state == MemberState::Leaving;
        silent.emplace_back(tracked->member.id, isLeaving ? MemberState::Gone : MemberState::Suspect);
    }
    for (const auto& [id, state] : silent)
        changeState(id, state, now);
}

void Fleet::startExchange(const TrackedMember* tracked, TimePoint now, std::vector<FleetAction>& actions)
{
    if (!tracked)
        return;
    const auto [it, isNew] = m_exchanges.try_emplace(tracked->member.id, now);
    // An exchange from before a pause is over, whatever becomes of it.
    if (!isNew && it->second >= m_wokeAt)
        return;
    it->second = now;
    actions.emplace_back(Exchange { tracked->member.id, tracked->member.peerAddress });
}

// Visits the own data centre's members in rounds of random order, which bounds the time between two visits.
const TrackedMember* Fleet::nextOwn(RandomEngine& random)
{
    const auto& own = views().own;
    if (own.empty())
        return nullptr;
    while (true) {
        if (m_ownOrder.empty()) {
            for (const auto* tracked : own)
                m_ownOrder.push_back(tracked->member.id);
            std::shuffle(m_ownOrder.begin(), m_ownOrder.end(), random);
        }
        const auto* next = m_table.find(m_ownOrder.back());
        m_ownOrder.pop_back();
        if (next && next->isReachable() && next->member.dataCentre == m_self.dataCentre)
            return next;
    }
}

const TrackedMember* Fleet::secondPeer(DecisionContext context)
{
    while (!m_retries.empty()) {
        const auto* retry = m_table.find(m_retries.back());
        m_retries.pop_back();
        if (retry && retry->isReachable())
            return retry;
    }
    const auto& current = views();
    const bool hasPeers = !(current.own.empty() && current.region.empty() && current.others.empty());
    if (!current.lost.empty() && (!hasPeers || m_periods % m_limits.retryPeriods == 0))
        return randomOf(current.lost, context.random);
    if (!current.own.empty() && !isFarExchangeDue(context.random))
        return nextOwn(context.random);
    const bool crossesRegion = m_periods % m_limits.otherRegionPeriods == 0;
    const bool hasNear = !(current.own.empty() && current.region.empty());
    if (!current.others.empty() && (crossesRegion || !hasNear))
        return randomOf(current.others, context.random);
    return current.region.empty() ? nextOwn(context.random) : randomOf(current.region, context.random);
}

bool Fleet::isFarExchangeDue(RandomEngine& random) const
{
    if (!m_limits.farExchangesPerDataCentre)
        return true;
    const double share = *m_limits.farExchangesPerDataCentre / static_cast<double>(views().own.size() + 1);
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

const RegionId* Fleet::regionOf(const DataCentreId& dataCentre) const
{
    const auto it = m_regions.find(dataCentre);
    return it == m_regions.end() ? nullptr : &it->second;
}

bool Fleet::isSelfCandidate() const
{
    return m_self.state == MemberState::Alive && m_self.isReady && !m_isSelfListedLeaving;
}

Fleet::Views& Fleet::views() const
{
    if (m_views.isValid)
        return m_views;
    m_views = {};
    m_views.isValid = true;
    for (const auto& [id, tracked] : m_table.members())
        addToViews(tracked);
    if (isSelfCandidate())
        addToRosters(m_self, true);
    return m_views;
}

Fleet::Zone& Fleet::zoneOf(const DataCentreId& dataCentre) const
{
    auto& zone = m_views.zones[dataCentre];
    if (zone.reachable)
        return zone;
    const auto* region = regionOf(dataCentre);
    const auto* ownRegion = regionOf(m_self.dataCentre);
    const bool isNear = region && ownRegion ? *region == *ownRegion : region == ownRegion;
    zone.reachable = &(isNear ? m_views.region : m_views.others);
    if (dataCentre == m_self.dataCentre)
        zone.reachable = &m_views.own;
    return zone;
}

void Fleet::addToViews(const TrackedMember& tracked) const
{
    const auto& member = tracked.member;
    auto& zone = zoneOf(member.dataCentre);
    // A listed host that has not been heard of is tried once; after a failure it waits for its turn among the lost.
    if (tracked.isReachable() && (tracked.hasRun() || tracked.failures == 0))
        zone.reachable->push_back(&tracked);
    else if (tracked.isListed)
        m_views.lost.push_back(&tracked);
    if (!tracked.isCandidate())
        return;
    zone.candidates.push_back(&tracked);
    m_views.roster.push_back(&tracked);
    addToRosters(member, tracked.isConfirmed);
}

void Fleet::addToRosters(const Member& member, bool isConfirmed) const
{
    const std::uint64_t entry = rosterEntry(member);
    const std::size_t unconfirmed = isConfirmed ? 0 : 1;
    m_views.fleetRoster.sum += entry;
    m_views.fleetRoster.unconfirmed += unconfirmed;
    if (member.dataCentre != m_self.dataCentre)
        return;
    m_views.ownRoster.sum += entry;
    m_views.ownRoster.unconfirmed += unconfirmed;
}

const Rendezvous* Fleet::homesIn(const DataCentreId& dataCentre) const
{
    auto& zones = views().zones;
    const bool includesSelf = dataCentre == m_self.dataCentre && isSelfCandidate();
    if (!includesSelf && !zones.contains(dataCentre))
        return nullptr;
    auto& zone = zoneOf(dataCentre);
    if (!zone.homes) {
        std::vector<MemberId> ids;
        ids.reserve(zone.candidates.size() + 1);
        for (const auto* tracked : zone.candidates)
            ids.push_back(tracked->member.id);
        if (includesSelf)
            ids.push_back(m_self.id);
        zone.homes.emplace(std::move(ids));
    }
    return &*zone.homes;
}

std::optional<MemberId> Fleet::homeOf(const PoolId& pool) const
{
    const auto* homes = homesIn(pool.dataCentre);
    const MemberId* home = homes ? homes->winner(keyOf(pool)) : nullptr;
    if (!home)
        return std::nullopt;
    const bool isConfirmed = *home == m_self.id ? !m_isSelfExpired : m_table.find(*home)->isConfirmed;
    return isConfirmed ? std::optional(*home) : std::nullopt;
}

std::vector<MemberId> Fleet::homesRanked(const PoolId& pool, std::size_t count) const
{
    const auto* homes = homesIn(pool.dataCentre);
    return homes ? homes->ranked(keyOf(pool), count) : std::vector<MemberId> {};
}

bool Fleet::isWatcher() const
{
    auto& current = views();
    if (!current.isWatcher) {
        const auto watchers = chooseWatchers();
        current.isWatcher = std::find(watchers.begin(), watchers.end(), m_self.id) != watchers.end();
    }
    return *current.isWatcher;
}

// A watcher sends what it reads to its whole data centre at once, for which a host with a small link takes seconds:
// hosts go before others whose links carry less than half as much. Members that the platform turns away come last.
std::vector<MemberId> Fleet::chooseWatchers() const
{
    std::vector<const Member*> members;
    for (const auto* tracked : views().own) {
        if (tracked->isActive())
            members.push_back(&tracked->member);
    }
    // A member that leaves goes on until its successor has heard of that.
    members.push_back(&m_self);
    const auto hasSmallerLink = [](const Member* a, const Member* b) { return a->linkPerSecond < b->linkPerSecond; };
    const auto largest = (*std::max_element(members.begin(), members.end(), hasSmallerLink))->linkPerSecond;
    const auto turnedAway = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const Member* it) { return !it->canReadPlatform; }));
    enum Order : std::size_t { Large, Small, LargeTurnedAway, SmallTurnedAway, Orders };
    std::array<std::vector<MemberId>, Orders> groups;
    for (const auto* member : members) {
        std::size_t order = member->linkPerSecond.count() >= largest.count() / 2 ? Large : Small;
        if (!member->canReadPlatform && turnedAway <= m_limits.mostTurnedAway)
            order += LargeTurnedAway;
        groups[order].push_back(member->id);
    }
    std::vector<MemberId> watchers;
    for (auto& group : groups) {
        const std::size_t wanted = m_limits.watchersPerDataCentre - watchers.size();
        const auto ranked = Rendezvous(std::move(group)).ranked(stableHash("watcher"), wanted);
        watchers.insert(watchers.end(), ranked.begin(), ranked.end());
    }
    return watchers;
}

} // namespace dogwoodhall
