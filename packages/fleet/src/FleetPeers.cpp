// The part of Fleet that chooses peers, expires states and derives homes and watchers from the table.
#include "dogwoodhall/fleet/Fleet.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace dogwoodhall {

namespace {

std::uint64_t rosterHash(const Member& member) { return stableHash(member.id.value(), member.incarnation.value()); }

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
    m_pendingClaims[id] = {};
    m_unreachable.insert(id);
    markChanged();
}

void Fleet::expireUnreachable(TimePoint now)
{
    const std::vector<MemberId> unreachable(m_unreachable.begin(), m_unreachable.end());
    for (const auto& id : unreachable) {
        const auto* tracked = m_table.find(id);
        const Duration age = tracked ? now - tracked->stateSince : Duration();
        if (tracked && tracked->member.state == MemberState::Suspect && age >= m_limits.suspectTimeout) {
            changeState(id, MemberState::Gone, now);
        } else if (tracked && !tracked->isListed && tracked->member.state == MemberState::Gone
            && age >= m_limits.goneRetention) {
            m_table.remove(id);
            markChanged();
            tracked = nullptr;
        }
        if (!tracked)
            m_unreachable.erase(id);
    }
}

void Fleet::suspectSilent(TimePoint now)
{
    const Duration limit
        = m_limits.silenceTimeout + m_limits.silenceTimeoutPerMember * static_cast<std::int64_t>(views().local.size());
    std::vector<std::pair<MemberId, MemberState>> silent;
    for (const auto* tracked : views().local) {
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
    // An exchange from before a pause counts as finished, whatever its outcome.
    const bool isUnderWay = it->second >= m_resumedAt && now - it->second < m_limits.exchangeLifetime;
    if (!isNew && isUnderWay)
        return;
    it->second = now;
    actions.emplace_back(Exchange { tracked->member.id, tracked->member.peerAddress });
}

// Contacts the members of the local data centre in rounds of random order, which bounds the time between two contacts.
const TrackedMember* Fleet::nextLocalPeer(RandomEngine& random)
{
    const auto& local = views().local;
    if (local.empty())
        return nullptr;
    while (true) {
        if (m_localOrder.empty()) {
            for (const auto* tracked : local)
                m_localOrder.push_back(tracked->member.id);
            std::shuffle(m_localOrder.begin(), m_localOrder.end(), random);
        }
        const auto* next = m_table.find(m_localOrder.back());
        m_localOrder.pop_back();
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
    const bool hasPeers = !(current.local.empty() && current.sameRegion.empty() && current.otherRegions.empty());
    if (!current.listedUnreachable.empty() && (!hasPeers || m_periods % m_limits.unreachableRetryPeriods == 0))
        return randomOf(current.listedUnreachable, context.random);
    if (!current.local.empty() && !isRemoteExchangeDue(context.random))
        return nextLocalPeer(context.random);
    const bool crossesRegion = m_periods % m_limits.otherRegionPeriods == 0;
    const bool hasPeersInRegion = !(current.local.empty() && current.sameRegion.empty());
    if (!current.otherRegions.empty() && (crossesRegion || !hasPeersInRegion))
        return randomOf(current.otherRegions, context.random);
    return current.sameRegion.empty() ? nextLocalPeer(context.random) : randomOf(current.sameRegion, context.random);
}

bool Fleet::isRemoteExchangeDue(RandomEngine& random) const
{
    if (!m_limits.remoteExchangesPerDataCentre)
        return true;
    const double share = *m_limits.remoteExchangesPerDataCentre / static_cast<double>(views().local.size() + 1);
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

const RegionId* Fleet::regionOf(const DataCentreId& dataCentre) const
{
    const auto it = m_regions.find(dataCentre);
    return it == m_regions.end() ? nullptr : &it->second;
}

MemberDistance Fleet::distanceTo(const MemberId& id) const
{
    const auto* tracked = m_table.find(id);
    if (tracked && isLocal(tracked->member))
        return MemberDistance::DataCentre;
    const auto* region = tracked ? regionOf(tracked->member.dataCentre) : nullptr;
    const auto* localRegion = regionOf(m_self.dataCentre);
    return region && localRegion && *region == *localRegion ? MemberDistance::Region : MemberDistance::OtherRegion;
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

Fleet::DataCentreView& Fleet::viewOf(const DataCentreId& dataCentre) const
{
    auto& view = m_views.dataCentres[dataCentre];
    if (view.reachable)
        return view;
    const auto* region = regionOf(dataCentre);
    const auto* localRegion = regionOf(m_self.dataCentre);
    const bool isSameRegion = region && localRegion ? *region == *localRegion : region == localRegion;
    view.reachable = &(isSameRegion ? m_views.sameRegion : m_views.otherRegions);
    if (dataCentre == m_self.dataCentre)
        view.reachable = &m_views.local;
    return view;
}

void Fleet::addToViews(const TrackedMember& tracked) const
{
    const auto& member = tracked.member;
    auto& view = viewOf(member.dataCentre);
    // A listed host that has never been seen running is contacted once; after a failure it is retried like the other
    // unreachable members.
    if (tracked.isReachable() && (tracked.hasRun() || tracked.failures == 0))
        view.reachable->push_back(&tracked);
    else if (tracked.isListed)
        m_views.listedUnreachable.push_back(&tracked);
    if (!tracked.isCandidate())
        return;
    view.candidates.push_back(&tracked);
    m_views.roster.push_back(&tracked);
    addToRosters(member, tracked.isConfirmed);
}

void Fleet::addToRosters(const Member& member, bool isConfirmed) const
{
    const std::uint64_t entry = rosterHash(member);
    const std::size_t unconfirmed = isConfirmed ? 0 : 1;
    m_views.fleetRoster.sum += entry;
    m_views.fleetRoster.unconfirmed += unconfirmed;
    if (member.dataCentre != m_self.dataCentre)
        return;
    m_views.localRoster.sum += entry;
    m_views.localRoster.unconfirmed += unconfirmed;
}

const Rendezvous* Fleet::homesIn(const DataCentreId& dataCentre) const
{
    auto& dataCentres = views().dataCentres;
    const bool includesSelf = dataCentre == m_self.dataCentre && isSelfCandidate();
    if (!includesSelf && !dataCentres.contains(dataCentre))
        return nullptr;
    auto& view = viewOf(dataCentre);
    if (!view.homes) {
        std::vector<MemberId> ids;
        ids.reserve(view.candidates.size() + 1);
        for (const auto* tracked : view.candidates)
            ids.push_back(tracked->member.id);
        if (includesSelf)
            ids.push_back(m_self.id);
        view.homes.emplace(std::move(ids));
    }
    return &*view.homes;
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

const TrackedMember* Fleet::firstReader() const
{
    const auto rank = [](const Member& member) { return stableHash(member.id.value()); };
    const TrackedMember* first = nullptr;
    std::uint64_t lowest = m_self.canReadPlatform ? rank(m_self) : std::numeric_limits<std::uint64_t>::max();
    for (const auto& [id, tracked] : m_table.members()) {
        const bool isEligible = tracked.isActive() && tracked.member.canReadPlatform && tracked.failures == 0;
        if (!isEligible || rank(tracked.member) >= lowest)
            continue;
        first = &tracked;
        lowest = rank(tracked.member);
    }
    return first;
}

const TrackedMember* Fleet::peerToConfirm() const
{
    if (size() <= m_limits.maxConfirmedByFirstReader || isWatcher())
        return firstReader();
    const auto watchers = chooseWatchers();
    return watchers.empty() ? firstReader() : m_table.find(watchers.front());
}

// A watcher sends what it reads to its whole data centre at once, which takes seconds on a host with a small link:
// hosts are preferred to others whose links have less than half the bandwidth of the largest. Members that cannot read
// the platform come last.
std::vector<MemberId> Fleet::chooseWatchers() const
{
    std::vector<const Member*> members;
    for (const auto* tracked : views().local) {
        if (tracked->isActive())
            members.push_back(&tracked->member);
    }
    // A leaving member keeps the role until its successor has learnt that it leaves.
    members.push_back(&m_self);
    const auto hasSmallerLink
        = [](const Member* a, const Member* b) { return a->linkCapacityPerSecond < b->linkCapacityPerSecond; };
    const auto largest = (*std::max_element(members.begin(), members.end(), hasSmallerLink))->linkCapacityPerSecond;
    const auto withoutPlatform = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const Member* it) { return !it->canReadPlatform; }));
    enum Order : std::size_t { Large, Small, LargeWithoutPlatform, SmallWithoutPlatform, Orders };
    std::array<std::vector<MemberId>, Orders> groups;
    for (const auto* member : members) {
        std::size_t order = member->linkCapacityPerSecond.count() >= largest.count() / 2 ? Large : Small;
        if (!member->canReadPlatform && withoutPlatform <= m_limits.maxMembersWithoutPlatform)
            order += LargeWithoutPlatform;
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
