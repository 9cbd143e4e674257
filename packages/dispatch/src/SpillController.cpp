#include "dogwoodhall/dispatch/SpillController.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace dogwoodhall {

namespace {

constexpr double probesOfFullRound = 4;
constexpr std::size_t maxKeptChanges = 64;
constexpr std::array outside { Distance::SameRegion, Distance::OtherRegion };

std::size_t indexOf(Distance distance) { return static_cast<std::size_t>(distance); }

} // namespace

std::string_view toString(SpillReason reason)
{
    switch (reason) {
    case SpillReason::OwnDataCentreFull:
        return "own-data-centre-full";
    case SpillReason::RoomReturned:
        return "room-returned";
    case SpillReason::DestinationFull:
        break;
    }
    return "destination-full";
}

SpillController SpillController::copyFor(const ServiceId& service) const
{
    SpillController copy(m_limits);
    if (const auto* directions = find(service))
        copy.m_services.emplace(service, *directions);
    return copy;
}

void SpillController::apply(const Directory& directory)
{
    std::erase_if(m_services, [&](const auto& item) { return !directory.service(item.first); });
}

const SpillController::Directions* SpillController::find(const ServiceId& service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

double SpillController::decay(const Evidence& evidence, TimePoint now) const
{
    const double halfLives = toSeconds(now - evidence.at) / toSeconds(m_limits.evidenceHalfLife);
    return std::exp2(-std::max(halfLives, 0.0));
}

void SpillController::add(Evidence& evidence, bool isPositive, TimePoint now) const
{
    const double factor = decay(evidence, now);
    evidence.positive = evidence.positive * factor + (isPositive ? 1 : 0);
    evidence.total = evidence.total * factor + 1;
    evidence.at = now;
}

double SpillController::shareOf(const Evidence& evidence, double prior, double priorWeight, TimePoint now) const
{
    const double factor = decay(evidence, now);
    return (prior * priorWeight + evidence.positive * factor) / (priorWeight + evidence.total * factor);
}

void SpillController::recordRoom(const ServiceId& service, Distance distance, bool hasRoom, TimePoint now)
{
    add(m_services[service][indexOf(distance)].room, hasRoom, now);
}

void SpillController::recordAnswer(const ServiceId& service, Distance distance, bool isInTime, TimePoint now)
{
    add(m_services[service][indexOf(distance)].inTime, isInTime, now);
}

double SpillController::roomShare(const Directions& directions, Distance distance, TimePoint now) const
{
    return shareOf(directions[indexOf(distance)].room, m_limits.priorRoomShare, m_limits.priorWeight, now);
}

double SpillController::fullShare(const Directions& directions, Distance distance, TimePoint now) const
{
    return std::pow(1 - roomShare(directions, distance, now), probesOfFullRound);
}

double SpillController::fullShare(const ServiceId& service, Distance distance, TimePoint now) const
{
    const auto* directions = find(service);
    return fullShare(directions ? *directions : Directions {}, distance, now);
}

double SpillController::netValue(
    const SpillQuery& query, const Directions& directions, Distance distance, TimePoint now) const
{
    const double inTime = shareOf(directions[indexOf(distance)].inTime, 1, m_limits.priorAnswers, now);
    const double value = query.offers[indexOf(distance)].value - (1 - inTime);
    if (distance == query.home)
        return value;
    return value - m_limits.displacementCost * fullShare(directions, distance, now);
}

double SpillController::probeCost(const SpillQuery& query, Distance distance) const
{
    const double used = 1 - query.probesLeft;
    return m_limits.probeCost + m_limits.scarceProbeCost * used * used + query.offers[indexOf(distance)].probeBytesCost;
}

double SpillController::gain(
    const SpillQuery& query, const Directions& directions, SpillRound round, TimePoint now) const
{
    const auto n = static_cast<double>(round.count);
    const double hit = 1 - std::pow(1 - roomShare(directions, round.distance, now), n);
    const double isRefusal = query.valueAtHand <= 0 ? 1 : 0;
    const double alternative = query.valueAtHand - (query.isRepeat ? isRefusal * m_limits.repeatRefusalCost : 0);
    const double better = netValue(query, directions, round.distance, now) - alternative;
    return hit * std::max(better, 0.0) - n * probeCost(query, round.distance);
}

std::pair<SpillRound, double> SpillController::bestRound(
    const SpillQuery& query, const Directions& directions, Distance distance, TimePoint now) const
{
    SpillRound best { distance, 0 };
    double bestGain = 0;
    const auto most = std::min(query.offers[indexOf(distance)].candidates, query.maxProbed);
    for (std::size_t n = 1; n <= most; ++n) {
        const double gained = gain(query, directions, { distance, n }, now);
        if (gained > bestGain) {
            best.count = n;
            bestGain = gained;
        }
    }
    return { best, bestGain };
}

std::optional<SpillRound> SpillController::nextRound(const SpillQuery& query, DecisionContext context) const
{
    const auto* known = find(query.service);
    const Directions directions = known ? *known : Directions {};
    if (query.isFirstRound) {
        if (auto round = firstRound(query, directions, context))
            return round;
    }
    std::optional<SpillRound> best;
    double bestGain = m_limits.minGain;
    for (const auto distance : { Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion }) {
        const auto [round, gained] = bestRound(query, directions, distance, context.now);
        if (gained > bestGain) {
            best = round;
            bestGain = gained;
        }
    }
    return best;
}

// The own data centre is probed first, with fewer probes where it is known to be full: what they may save is the cost
// of the links.
std::optional<SpillRound> SpillController::firstRound(
    const SpillQuery& query, const Directions& directions, DecisionContext context) const
{
    // Where probes are scarce, they go where they gain most.
    if (query.probesLeft < m_limits.scarceBelow)
        return std::nullopt;
    const SpillRound usual { query.home, std::min(query.offers[indexOf(query.home)].candidates, query.maxProbed) };
    if (usual.count == 0)
        return std::nullopt;
    if (query.home != Distance::SameDataCentre)
        return usual;
    for (const auto direction : outside) {
        const bool isLeaving = directions[indexOf(direction)].isLeaving;
        const auto [round, gained] = bestRound(query, directions, direction, context.now);
        if (!isLeaving || gained <= m_limits.minGain)
            continue;
        std::uniform_real_distribution<double> uniform(0, 1);
        if (uniform(context.random) >= leavingShare(query.service, direction, context.now))
            return usual;
        auto ownQuery = query;
        ownQuery.valueAtHand = std::max(gained, 0.0);
        const auto reduced = bestRound(ownQuery, directions, Distance::SameDataCentre, context.now);
        return reduced.second > 0 ? reduced.first : round;
    }
    return usual;
}

std::optional<SpillReason> SpillController::endReason(
    const Directions& directions, Distance direction, TimePoint now) const
{
    const double own = fullShare(directions, Distance::SameDataCentre, now);
    if (own <= m_limits.endAtFullShare)
        return SpillReason::RoomReturned;
    if (fullShare(directions, direction, now) >= own)
        return SpillReason::DestinationFull;
    return std::nullopt;
}

bool SpillController::startsAtHome(const ServiceId& service, double probesLeft) const
{
    const auto* directions = find(service);
    const bool isLeaving = directions
        && std::any_of(directions->begin(), directions->end(), [](const Direction& it) { return it.isLeaving; });
    return !isLeaving && probesLeft >= m_limits.scarceBelow;
}

void SpillController::update(const SpillQuery& query, TimePoint now)
{
    auto& directions = m_services[query.service];
    const auto& ownRoom = directions[indexOf(Distance::SameDataCentre)].room;
    const bool isKnown = ownRoom.total * decay(ownRoom, now) >= m_limits.beginAtWeight;
    const double own = fullShare(directions, Distance::SameDataCentre, now);
    for (const auto direction : outside) {
        auto& state = directions[indexOf(direction)];
        if (now - state.changedAt < m_limits.minTimeBetweenChanges)
            continue;
        if (state.isLeaving) {
            if (const auto reason = endReason(directions, direction, now))
                change(query.service, directions, direction, false, *reason, now);
            continue;
        }
        const bool isFull = isKnown && own >= m_limits.beginAtFullShare;
        // Half as likely to be full, so that the end is not near.
        const bool hasRoomThere = fullShare(directions, direction, now) < own / 2;
        if (isFull && hasRoomThere && bestRound(query, directions, direction, now).second > m_limits.minGain)
            change(query.service, directions, direction, true, SpillReason::OwnDataCentreFull, now);
    }
}

void SpillController::change(const ServiceId& service, Directions& directions, Distance direction, bool isLeaving,
    SpillReason reason, TimePoint now)
{
    auto& state = directions[indexOf(direction)];
    state.isLeaving = isLeaving;
    state.changedAt = now;
    if (m_changes.size() < maxKeptChanges)
        m_changes.push_back({ service, direction, isLeaving, reason,
            fullShare(directions, Distance::SameDataCentre, now), fullShare(directions, direction, now) });
}

double SpillController::leavingShare(const ServiceId& service, Distance direction, TimePoint now) const
{
    const auto* directions = find(service);
    if (!directions || !(*directions)[indexOf(direction)].isLeaving)
        return 0;
    return std::min(fullShare(*directions, Distance::SameDataCentre, now), m_limits.maxLeavingShare);
}

double SpillController::maxLeavingShare(Distance direction, TimePoint now) const
{
    double share = 0;
    for (const auto& [service, directions] : m_services)
        share = std::max(share, leavingShare(service, direction, now));
    return share;
}

std::vector<SpillChange> SpillController::takeChanges(TimePoint now)
{
    for (auto& [service, directions] : m_services) {
        for (const auto direction : outside) {
            const auto& state = directions[indexOf(direction)];
            const bool mayChange = state.isLeaving && now - state.changedAt >= m_limits.minTimeBetweenChanges;
            if (const auto reason = mayChange ? endReason(directions, direction, now) : std::nullopt)
                change(service, directions, direction, false, *reason, now);
        }
    }
    return std::exchange(m_changes, {});
}

} // namespace dogwoodhall
