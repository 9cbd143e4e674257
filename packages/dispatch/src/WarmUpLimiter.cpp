#include "dogwoodhall/dispatch/WarmUpLimiter.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

// Sends older than this affect no decision, written or not.
constexpr Duration sendMemory = std::chrono::seconds(10);
// Also the most that one member sends to a cold endpoint in a period.
constexpr std::size_t maxSendsKept = 64; // Per endpoint.
// Keeps the conversion to a whole number in range.
constexpr double maxRequestsPerSecond = 1'000'000;

// The finalizer of splitmix64.
std::uint64_t scoreOf(std::uint64_t member, std::uint64_t endpoint)
{
    std::uint64_t x = member ^ endpoint;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

std::size_t wholeRequests(double requests)
{
    constexpr double rounding = 1e-9; // 0.1 * 30 is below 3.
    return static_cast<std::size_t>(std::clamp(requests + rounding, 0.0, maxRequestsPerSecond));
}

} // namespace

void WarmUpLimiter::apply(const FleetView& fleet, TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
    m_self = { stableHash(fleet.self.id.value()), fleet.self.dataCentre, std::nullopt };
    for (auto& [id, member] : m_others) {
        if (!member.goneSince)
            member.goneSince = now;
    }
    for (const auto& member : fleet.others) {
        auto& known = m_others[member.id];
        known = { stableHash(member.id.value()), member.dataCentre, std::nullopt };
    }
    m_shares.clear();
    forgetGoneMembers(now);
    removeOldSends(now);
}

void WarmUpLimiter::forgetGoneMembers(TimePoint now)
{
    const auto gone = std::count_if(
        m_others.begin(), m_others.end(), [](const auto& item) { return item.second.goneSince.has_value(); });
    const std::size_t known = m_others.size() + 1;
    if (2 * static_cast<std::size_t>(gone) >= known)
        return;
    std::erase_if(m_others, [&](const auto& item) {
        return item.second.goneSince && now - *item.second.goneSince > m_limits.memberMemory;
    });
}

// Writes of requests that were decided a period apart may be close together.
bool WarmUpLimiter::Send::isWithin(Duration period, TimePoint now) const
{
    return now - at < (isWritten ? period : sendMemory);
}

bool WarmUpLimiter::hasStarted(TimePoint now) const
{
    if (!m_startedAt)
        return false;
    return now - *m_startedAt >= (m_others.empty() ? m_limits.startDelayAlone : m_limits.startDelay);
}

WarmUpLimiter::Standing WarmUpLimiter::standingFor(const EndpointRegistration& endpoint) const
{
    const std::uint64_t key = stableHash(endpoint.id.value());
    const auto rankOf = [&](const RankedMember& member) {
        return std::pair(member.dataCentre == endpoint.dataCentre, scoreOf(member.hash, key));
    };
    const auto own = rankOf(m_self);
    Standing standing;
    std::size_t known = 1;
    std::size_t inDataCentre = own.first ? 1 : 0;
    for (const auto& [id, member] : m_others) {
        const auto rank = rankOf(member);
        ++known;
        inDataCentre += rank.first ? 1 : 0;
        if (rank <= own)
            continue;
        ++standing.knownBefore;
        standing.aliveBefore += member.goneSince ? 0 : 1;
    }
    standing.candidates = std::max(inDataCentre, std::min(known, m_limits.minDesignated));
    return standing;
}

const WarmUpLimiter::Share& WarmUpLimiter::shareOf(
    const UpstreamDeclaration& service, const EndpointRegistration& endpoint) const
{
    const auto [it, isNew] = m_shares.try_emplace(endpoint.id);
    if (isNew)
        it->second = computeShare(service, endpoint);
    return it->second;
}

WarmUpLimiter::Share WarmUpLimiter::computeShare(
    const UpstreamDeclaration& service, const EndpointRegistration& endpoint) const
{
    const double tolerated = *service.coldRequestsPerSecond;
    const std::size_t bound = wholeRequests(tolerated * m_limits.overage + m_limits.slack);
    const bool isOwnThread = stableHash(endpoint.id.value()) % m_limits.threads == m_limits.thread;
    if (bound == 0 || tolerated <= 0 || !isOwnThread)
        return {};
    // What each view of the fleet may send in a period.
    const auto target = std::max<std::size_t>(
        std::min(wholeRequests(tolerated), bound / std::max<std::size_t>(m_limits.maxViews, 1)), 1);
    const auto standing = standingFor(endpoint);
    const std::size_t designated = std::min(target, standing.candidates);
    const std::size_t requests = std::min(target / designated, maxSendsKept);
    if (standing.aliveBefore >= designated || standing.knownBefore >= bound / requests)
        return {};
    const Duration period = scaled(std::chrono::seconds(1), std::min(1 / tolerated, toSeconds(sendMemory)));
    return { requests, std::max(m_limits.period, period) };
}

bool WarmUpLimiter::maySend(
    const UpstreamDeclaration& service, const EndpointRegistration& endpoint, TimePoint now) const
{
    if (!service.coldRequestsPerSecond)
        return true;
    if (!hasStarted(now))
        return false;
    const auto& share = shareOf(service, endpoint);
    const auto it = m_sends.find(endpoint.id);
    if (share.requests == 0 || it == m_sends.end())
        return share.requests > 0;
    const auto recent = std::count_if(
        it->second.begin(), it->second.end(), [&](const Send& send) { return send.isWithin(share.period, now); });
    return static_cast<std::size_t>(recent) < share.requests;
}

bool WarmUpLimiter::isDue(const UpstreamDeclaration& service, const EndpointRegistration& endpoint, TimePoint now) const
{
    if (!service.coldRequestsPerSecond)
        return false;
    const auto it = m_sends.find(endpoint.id);
    const bool hasWork = it != m_sends.end()
        && std::any_of(it->second.begin(), it->second.end(),
            [&](const Send& send) { return send.isWithin(m_limits.workInterval, now); });
    return !hasWork && maySend(service, endpoint, now);
}

void WarmUpLimiter::sent(const EndpointId& endpoint, TimePoint decidedAt)
{
    auto& sends = m_sends[endpoint];
    sends.push_back({ decidedAt });
    if (sends.size() > maxSendsKept)
        sends.pop_front();
}

void WarmUpLimiter::written(const EndpointId& endpoint, TimePoint decidedAt, TimePoint writtenAt)
{
    const auto found = m_sends.find(endpoint);
    if (found == m_sends.end())
        return;
    auto& sends = found->second;
    const auto it = std::find_if(
        sends.begin(), sends.end(), [&](const Send& send) { return !send.isWritten && send.at == decidedAt; });
    if (it != sends.end())
        *it = { writtenAt, true };
}

void WarmUpLimiter::removeOldSends(TimePoint now)
{
    std::erase_if(m_sends, [&](const auto& item) {
        return std::none_of(
            item.second.begin(), item.second.end(), [&](const Send& send) { return send.isWithin(sendMemory, now); });
    });
}

} // namespace dogwoodhall
