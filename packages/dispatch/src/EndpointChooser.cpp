#include "dogwoodhall/dispatch/EndpointChooser.h"

#include <algorithm>
#include <cmath>

namespace dogwoodhall {

namespace {

// Standard deviation of the logarithm of service times, which are log-normal around the expected time. Includes the
// periods in which a host is slowed.
constexpr double logServiceTimeDeviation = 0.45;
// Reliability factor of endpoints that report themselves as unhealthy; most such reports are correct.
constexpr double unhealthyFactor = 0.2;
// Reliability factor of endpoints that are still warming up.
constexpr double coldFactor = 0.7;
// Endpoints without a load report are assumed to serve as many requests for another entry host as for this one.
constexpr std::uint64_t assumedMembersPerOwnRequest = 2;

// Values that differ by less count as equal; the endpoint with the lower utilisation is then preferred.
constexpr double valueTolerance = 0.005;

double utilisation(const LoadReport& load)
{
    return static_cast<double>(load.running.count())
        / static_cast<double>(std::max<std::uint64_t>(load.slots.count(), 1));
}

} // namespace

template <typename Visitor>
std::size_t EndpointChooser::visitEligible(
    const EndpointQuery& query, Distance distance, TimePoint now, const Visitor& visit) const
{
    bool isNearest = true;
    for (const auto& endpoint : query.service->endpoints) {
        if (endpoint.distance > distance || !m_eligibility.isEligible(query, endpoint, now))
            continue;
        if (endpoint.distance < distance)
            isNearest = false;
        else
            visit(endpoint, m_eligibility.isDueForWarmUp(query, endpoint, now));
    }
    return isNearest ? m_limits.subsetSizeNearest : m_limits.subsetSizeRemote;
}

std::vector<DirectoryEndpoint> EndpointChooser::selectForProbing(
    const EndpointQuery& query, Distance distance, DecisionContext context) const
{
    return pick(subset(query, distance, context.now), m_limits.maxProbed, context);
}

ProbeCandidates EndpointChooser::subset(const EndpointQuery& query, Distance distance, TimePoint now) const
{
    ProbeCandidates candidates;
    const auto size = visitEligible(query, distance, now, [&](const DirectoryEndpoint& endpoint, bool isDue) {
        (isDue ? candidates.due : candidates.usual).push_back(endpoint);
    });
    reduceToSubset(candidates.usual, size);
    return candidates;
}

std::size_t EndpointChooser::subsetSize(const EndpointQuery& query, Distance distance, TimePoint now) const
{
    std::size_t due = 0;
    std::size_t usual = 0;
    const auto size
        = visitEligible(query, distance, now, [&](const DirectoryEndpoint&, bool isDue) { ++(isDue ? due : usual); });
    return due + std::min(usual, size);
}

std::vector<DirectoryEndpoint> EndpointChooser::pick(
    ProbeCandidates candidates, std::size_t count, DecisionContext context) const
{
    auto& [due, endpoints] = candidates;
    std::shuffle(endpoints.begin(), endpoints.end(), context.random);
    std::shuffle(due.begin(), due.end(), context.random);
    // One place for those that are due, and the places that the others leave free.
    const auto second = due.begin() + (due.empty() ? 0 : 1);
    endpoints.insert(endpoints.begin(), due.begin(), second);
    endpoints.insert(endpoints.end(), second, due.end());
    if (endpoints.size() <= count)
        return std::move(endpoints);
    std::stable_partition(endpoints.begin(), endpoints.end(), [&](const DirectoryEndpoint& endpoint) {
        return m_tracker.failureShare(endpoint.registration->id, context.now) < 0.5;
    });
    endpoints.resize(count);
    return endpoints;
}

// Uses rendezvous hashing: an unusable endpoint is replaced by the next one in this member's order.
void EndpointChooser::reduceToSubset(std::vector<DirectoryEndpoint>& endpoints, std::size_t size) const
{
    if (endpoints.size() <= size)
        return;
    const auto hasLowerHash = [&](const DirectoryEndpoint& a, const DirectoryEndpoint& b) {
        return subsetRank(a.registration->id) < subsetRank(b.registration->id);
    };
    std::nth_element(
        endpoints.begin(), endpoints.begin() + static_cast<std::ptrdiff_t>(size), endpoints.end(), hasLowerHash);
    endpoints.resize(size);
}

std::optional<EndpointChoice> EndpointChooser::best(const EndpointQuery& query, Distance farthest, TimePoint now) const
{
    std::optional<EndpointChoice> best;
    for (const auto& endpoint : query.service->endpoints) {
        if (endpoint.distance > farthest || !m_eligibility.isEligible(query, endpoint, now))
            continue;
        auto choice = judge(query, endpoint, now);
        if (!best || isBetter(choice, *best))
            best = std::move(choice);
    }
    return best;
}

bool EndpointChooser::isBetter(const EndpointChoice& choice, const EndpointChoice& than) const
{
    if (choice.isFresh != than.isFresh)
        return choice.isFresh;
    if (choice.isDueForWarmUp != than.isDueForWarmUp)
        return choice.isDueForWarmUp;
    if (choice.hasRoom != than.hasRoom)
        return choice.hasRoom;
    if (std::abs(choice.value - than.value) > valueTolerance)
        return choice.value > than.value;
    const double difference = utilisation(choice.load) - utilisation(than.load);
    if (difference != 0)
        return difference < 0;
    // Endpoints without a report look alike. If all members took the first one, it would get all of their requests.
    return subsetRank(choice.endpoint) < subsetRank(than.endpoint);
}

std::uint64_t EndpointChooser::subsetRank(const EndpointId& id) const
{
    return stableHash(id.value(), m_limits.memberKey);
}

EndpointChoice EndpointChooser::judge(
    const EndpointQuery& query, const DirectoryEndpoint& endpoint, TimePoint now) const
{
    const auto& registration = *endpoint.registration;
    const auto* state = m_tracker.find(registration.id);
    EndpointChoice choice;
    choice.endpoint = registration.id;
    choice.incarnation = registration.incarnation;
    choice.address = registration.address;
    choice.distance = endpoint.distance;
    choice.reportAge = now - state->reportedAt;
    choice.isFresh = choice.reportAge <= m_limits.maxReportAge;
    if (const auto load = m_tracker.currentLoad(registration.id)) {
        choice.load = *load;
    } else {
        choice.load.slots = registration.slots;
        choice.load.running = SlotCount(state->sentAt.size() * assumedMembersPerOwnRequest);
    }
    const auto& service = query.service->declaration.id;
    choice.expected = roundTrip(endpoint.distance)
        + m_times.expected(query.route->id, service, choice.load, query.route->latencyGoal);
    choice.hasRoom = choice.load.waiting == SlotCount(0)
        && choice.load.running < m_times.bestConcurrency(service, choice.load.slots);
    const double inTime = chanceInTime(choice.expected, query.goalDeadline - now);
    const double beforeDeadline = chanceInTime(choice.expected, query.deadline - now);
    double reliability = 1 - m_tracker.failureShare(registration.id, now);
    if (state->reportsUnhealthy)
        reliability *= unhealthyFactor;
    choice.isCold = state->warmUp.isCold(now);
    if (choice.isCold)
        reliability *= coldFactor;
    choice.chance = inTime * reliability;
    choice.isDueForWarmUp = choice.isCold && choice.isFresh && choice.hasRoom && query.tried.empty()
        && choice.chance >= m_limits.minChanceForWarmUp && m_eligibility.isDueForWarmUp(query, endpoint, now);
    choice.value = reliability * (inTime + m_limits.lateAnswerValue * (beforeDeadline - inTime))
        - linkCost(requestBytes(query), endpoint.distance);
    return choice;
}

bool EndpointChooser::isWorthProbing(
    const EndpointQuery& query, Distance distance, const std::optional<EndpointChoice>& choice, TimePoint now) const
{
    const bool hasCandidate = std::any_of(
        query.service->endpoints.begin(), query.service->endpoints.end(), [&](const DirectoryEndpoint& it) {
            return it.distance == distance && m_eligibility.isEligible(query, it, now);
        });
    if (!hasCandidate)
        return false;
    if (!choice)
        return true;
    const ByteCount bytes = requestBytes(query) + ByteCount(m_limits.maxProbed * m_limits.probeOverhead.count());
    const double value
        = chanceInTime(expectedAfterProbe(query, distance), query.goalDeadline - now) - linkCost(bytes, distance);
    return value > (choice->hasRoom ? choice->value : 0);
}

double EndpointChooser::valueWhenIdle(
    const EndpointQuery& query, Distance distance, LinkCosts costs, TimePoint now) const
{
    const Duration expected = expectedAfterProbe(query, distance);
    const double inTime = chanceInTime(expected, query.goalDeadline - now);
    const double beforeDeadline = chanceInTime(expected, query.deadline - now);
    const double cost = costs == LinkCosts::Counted ? linkCost(requestBytes(query), distance) : 0;
    return inTime + m_limits.lateAnswerValue * (beforeDeadline - inTime) - cost;
}

// One round trip for the probe and one for the request.
Duration EndpointChooser::expectedAfterProbe(const EndpointQuery& query, Distance distance) const
{
    LoadReport idle;
    idle.slots = SlotCount(2);
    return 2 * roundTrip(distance)
        + m_times.expected(query.route->id, query.service->declaration.id, idle, query.route->latencyGoal);
}

ByteCount EndpointChooser::requestBytes(const EndpointQuery& query) const
{
    return m_times.expectedAnswerBytes(query.route->id) + m_limits.requestOverhead;
}

double EndpointChooser::linkCost(ByteCount bytes, Distance distance) const
{
    constexpr double bytesPerMegabyte = 1e6;
    const double megabytes = static_cast<double>(bytes.count()) / bytesPerMegabyte;
    switch (distance) {
    case Distance::SameDataCentre:
        return 0;
    case Distance::SameRegion:
        return megabytes * m_limits.costPerMegabyteWithinRegion;
    case Distance::OtherRegion:
        break;
    }
    return megabytes * m_limits.costPerMegabyteBetweenRegions;
}

Duration EndpointChooser::roundTrip(Distance distance) const
{
    switch (distance) {
    case Distance::SameDataCentre:
        return Duration::zero();
    case Distance::SameRegion:
        return m_limits.roundTripWithinRegion;
    case Distance::OtherRegion:
        break;
    }
    return m_limits.roundTripBetweenRegions;
}

double EndpointChooser::chanceInTime(Duration expected, Duration left) const
{
    if (left <= Duration::zero())
        return 0;
    const double deviations = std::log(toSeconds(left) / std::max(toSeconds(expected), 1e-6)) / logServiceTimeDeviation;
    return 0.5 * std::erfc(-deviations / std::sqrt(2.0));
}

} // namespace dogwoodhall
