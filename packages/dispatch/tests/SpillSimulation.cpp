#include "SpillSimulation.h"

#include <random>

namespace dogwoodhall {

namespace {

using namespace std::chrono_literals;

constexpr std::array dataCentres { "a1", "a2", "b1", "b2" };
constexpr std::array regions { "a", "a", "b", "b" };
constexpr Duration slowedPeriod = 150ms;
constexpr double slowdown = 5;
constexpr double wavePeriodSeconds = 13;
constexpr double logDeviation = 0.3;
constexpr std::uint64_t requestOverhead = 1500;
constexpr std::uint64_t probeBytes = 500;
const RouteQuery routeQuery { "shop", "/lookups/1", "GET" };

RouteDeclaration makeRoute(const SpillSetup& setup)
{
    RouteDeclaration route;
    route.id = RouteId("lookups");
    route.hostName = "shop";
    route.pathPrefix = "/lookups/";
    route.isIdempotent = true;
    route.timeout = setup.timeout;
    route.latencyGoal = setup.goal;
    route.maxAttempts = 2;
    route.allowedRegions = setup.allowedRegions;
    route.parts = { RoutePart { ServiceId("catalogue"), 1 } };
    return route;
}

} // namespace

SpillResult& SpillResult::operator+=(const SpillResult& other)
{
    arrived += other.arrived;
    inTime += other.inTime;
    late += other.late;
    refused += other.refused;
    refusedByEndpoints += other.refusedByEndpoints;
    changes += other.changes;
    for (std::size_t n = 0; n < sentTo.size(); ++n) {
        sentTo[n] += other.sentTo[n];
        arrivedAt[n] += other.arrivedAt[n];
        inTimeAt[n] += other.inTimeAt[n];
    }
    for (std::size_t n = 0; n < distanceCount; ++n) {
        sent[n] += other.sent[n];
        probes[n] += other.probes[n];
        bytes[n] += other.bytes[n];
    }
    return *this;
}

SpillSimulation::SpillSimulation(SpillSetup setup)
    : m_setup(std::move(setup))
    , m_random(m_setup.seed)
{
    for (const auto* dataCentre : dataCentres) {
        for (std::size_t n = 0; n < m_setup.endpoints; ++n) {
            const EndpointId id(std::string(dataCentre) + "-" + std::to_string(n));
            m_indices[id] = m_endpoints.size();
            m_endpoints.push_back({ id });
        }
    }
    FleetView fleet;
    fleet.others.resize(dataCentres.size() * m_setup.members - 1);
    fleet.largestSize = fleet.others.size() + 1;
    fleet.stableSince = m_now;
    for (std::size_t n = 0; n < dataCentres.size(); ++n) {
        const auto directory = directorySeenFrom(n);
        for (std::size_t member = 0; member < m_setup.members; ++member) {
            DispatchLimits limits;
            limits.chooser.memberKey = stableHash(std::string(dataCentres[n]) + std::to_string(member));
            limits.retries.slack = 100;
            limits.probesPerEndpointAndSecond = m_setup.probesPerEndpointAndSecond;
            if (m_setup.isOn)
                limits.spill.emplace();
            m_members.push_back({ n, std::make_unique<Dispatcher>(std::move(limits)) });
            m_members.back().dispatcher->apply(directory, fleet, m_now);
        }
    }
}

std::shared_ptr<const Directory> SpillSimulation::directorySeenFrom(std::size_t dataCentre) const
{
    auto routing = std::make_shared<RoutingDeclaration>();
    routing->version = 1;
    routing->routes = { makeRoute(m_setup) };
    routing->upstreams = { { ServiceId("catalogue"), "/health", 200 } };
    std::vector<std::shared_ptr<const EndpointRegistration>> registrations;
    for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
        EndpointRegistration registration;
        registration.id = m_endpoints[n].id;
        registration.service = ServiceId("catalogue");
        registration.dataCentre = DataCentreId(dataCentres[n / m_setup.endpoints]);
        registration.address = { IpAddress::loopback(), static_cast<std::uint16_t>(1000 + n) };
        registration.slots = SlotCount(m_setup.slots);
        registration.incarnation = Incarnation(1);
        registrations.push_back(std::make_shared<const EndpointRegistration>(registration));
    }
    std::map<DataCentreId, RegionId> regionOf;
    for (std::size_t n = 0; n < dataCentres.size(); ++n)
        regionOf.emplace(dataCentres[n], regions[n]);
    return Directory::Builder()
        .ownDataCentre(DataCentreId(dataCentres[dataCentre]))
        .regions(std::move(regionOf))
        .routing(std::move(routing))
        .endpoints(std::move(registrations))
        .evacuated(m_setup.evacuated)
        .build();
}

// Requests a second.
double SpillSimulation::rate(std::size_t dataCentre, TimePoint now) const
{
    const double slots = static_cast<double>(m_setup.endpoints * m_setup.slots);
    const double turns = toSeconds(now - m_start) / wavePeriodSeconds + m_setup.phase[dataCentre];
    const double wave = 1 + m_setup.swing * std::sin(2 * M_PI * turns);
    const double seconds = toSeconds(now - m_start);
    const bool isBurst = dataCentre % 2 == 0 && seconds >= 5 && seconds < 8;
    return m_setup.load[dataCentre] * wave * (isBurst ? m_setup.burst : 1) * slots / m_setup.workSeconds;
}

bool SpillSimulation::isSlowed(std::size_t endpoint, TimePoint now) const
{
    const auto period = static_cast<std::uint64_t>(now.sinceOrigin() / slowedPeriod);
    const auto hash = stableHash(std::to_string(endpoint) + "/" + std::to_string(period), m_setup.seed);
    return static_cast<double>(hash % 1000) < m_setup.slowedShare * 1000;
}

// End of a request that starts now. Filling the last slot slows it.
TimePoint SpillSimulation::finish(std::size_t endpoint)
{
    std::lognormal_distribution<double> factor(0, logDeviation);
    double left = m_setup.workSeconds * factor(m_random);
    if (m_endpoints[endpoint].running >= m_setup.slots)
        left *= 1.4;
    TimePoint at = m_now;
    while (true) {
        const double speed = isSlowed(endpoint, at) ? 1 / slowdown : 1;
        const Duration untilChange = slowedPeriod - at.sinceOrigin() % slowedPeriod;
        const double work = toSeconds(untilChange) * speed;
        if (work >= left)
            return at + scaled(1s, left / speed);
        left -= work;
        at = at + untilChange;
    }
}

Duration SpillSimulation::roundTrip(Distance distance) const
{
    switch (distance) {
    case Distance::SameDataCentre:
        return 400us;
    case Distance::SameRegion:
        return 1400us;
    case Distance::OtherRegion:
        break;
    }
    return 24ms;
}

void SpillSimulation::after(Duration delay, std::function<void()> run)
{
    m_events.push({ m_now + delay, m_nextEvent++, std::move(run) });
}

SpillResult SpillSimulation::run()
{
    for (std::size_t n = 0; n < dataCentres.size(); ++n) {
        if (m_setup.load[n] > 0)
            scheduleArrival(n);
    }
    while (!m_events.empty()) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    for (auto& member : m_members) {
        if (auto* spill = member.dispatcher->spill())
            m_result.changes += spill->takeChanges(m_now).size();
    }
    return m_result;
}

void SpillSimulation::scheduleArrival(std::size_t dataCentre)
{
    std::exponential_distribution<double> gap(rate(dataCentre, m_now));
    after(scaled(1s, gap(m_random)), [this, dataCentre] {
        if (toSeconds(m_now - m_start) >= m_setup.seconds)
            return;
        ++m_result.arrived;
        ++m_result.arrivedAt[dataCentre];
        auto request = std::make_shared<Request>();
        request->dataCentre = dataCentre;
        request->firstAt = m_now;
        arrive(std::move(request));
        scheduleArrival(dataCentre);
    });
}

void SpillSimulation::arrive(RequestPointer request)
{
    request->member = request->dataCentre * m_setup.members + m_random() % m_setup.members;
    auto plan
        = m_members[request->member].dispatcher->admit(routeQuery, m_setup.timeout - (m_now - request->firstAt), m_now);
    if (!plan) {
        ++m_result.refused;
        return;
    }
    request->plan = std::move(*plan);
    step(std::move(request));
}

void SpillSimulation::step(RequestPointer request)
{
    auto& dispatcher = *m_members[request->member].dispatcher;
    auto action = dispatcher.next(*request->plan, { m_now, m_random });
    if (const auto* probed = std::get_if<ProbeEndpoints>(&action))
        probe(request, *probed);
    else if (auto* sent = std::get_if<SendRequest>(&action))
        send(request, std::move(*sent));
    else
        refuse(request, std::get<RefuseRequest>(action));
}

void SpillSimulation::probe(const RequestPointer& request, const ProbeEndpoints& round)
{
    request->openProbes = round.endpoints.size();
    const TimePoint sentAt = m_now;
    for (const auto& endpoint : round.endpoints) {
        const auto distance = endpoint.distance;
        ++m_result.probes[static_cast<std::size_t>(distance)];
        m_result.bytes[static_cast<std::size_t>(distance)] += probeBytes;
        const auto id = endpoint.registration->id;
        after(roundTrip(distance) / 2, [this, request, id, distance, sentAt] {
            const auto index = indexOf(id);
            const LoadReport report { SlotCount(m_endpoints[index].running), SlotCount(0), SlotCount(m_setup.slots),
                isSlowed(index, m_now) ? slowdown : 1 };
            after(roundTrip(distance) / 2, [this, request, id, report, sentAt] {
                auto& dispatcher = *m_members[request->member].dispatcher;
                dispatcher.endpoints().recordProbeResponse(id, report, HealthStatus::Healthy, sentAt);
                if (--request->openProbes == 0)
                    step(request);
            });
        });
    }
}

void SpillSimulation::send(const RequestPointer& request, SendRequest action)
{
    const auto distance = action.choice.distance;
    ++m_result.sent[static_cast<std::size_t>(distance)];
    ++m_result.sentTo[indexOf(action.choice.endpoint) / m_setup.endpoints];
    m_result.bytes[static_cast<std::size_t>(distance)] += requestOverhead + m_setup.answerBytes;
    m_members[request->member].dispatcher->sent(*request->plan, action, m_now);
    after(roundTrip(distance) / 2,
        [this, request, action = std::move(action), sentAt = m_now] { reach(request, action, sentAt); });
}

void SpillSimulation::reach(const RequestPointer& request, const SendRequest& action, TimePoint sentAt)
{
    const auto index = indexOf(action.choice.endpoint);
    const Duration way = roundTrip(action.choice.distance) / 2;
    if (m_endpoints[index].running >= m_setup.slots) {
        ++m_result.refusedByEndpoints;
        after(way, [this, request, action, sentAt] {
            const SendFailure failure { ErrorKind::UpstreamRefused, true, true };
            m_members[request->member].dispatcher->failed(
                *request->plan, action, EndpointEvidence::Refused, failure, sentAt, m_now);
            step(request);
        });
        return;
    }
    ++m_endpoints[index].running;
    after(finish(index) - m_now, [this, request, action, sentAt, index, way] {
        --m_endpoints[index].running;
        after(way, [this, request, action, sentAt] {
            m_members[request->member].dispatcher->answered(
                *request->plan, action, EndpointEvidence::Served, ByteCount(m_setup.answerBytes), sentAt, m_now);
            const bool isInTime = m_now - request->firstAt <= m_setup.goal;
            ++(isInTime ? m_result.inTime : m_result.late);
            m_result.inTimeAt[request->dataCentre] += isInTime ? 1 : 0;
        });
    });
}

void SpillSimulation::refuse(const RequestPointer& request, const RefuseRequest& refusal)
{
    const Duration timeLeft = m_setup.timeout - (m_now - request->firstAt);
    if (request->isRepeat || !refusal.retryAfter || *refusal.retryAfter > timeLeft / 3) {
        ++m_result.refused;
        return;
    }
    request->isRepeat = true;
    after(*refusal.retryAfter + 3ms, [this, request] { arrive(request); });
}

} // namespace dogwoodhall
