#include "HomePlacement.h"

#include <string>
#include <utility>

namespace dogwoodhall::bench {

namespace {

// A member bypasses a home that has not responded for this time while requests are waiting there.
constexpr Duration bypassAfter = std::chrono::milliseconds(100);
// A lost home is replaced once gossip has detected the loss, which takes two periods of 500 ms.
constexpr Duration replaceAfter = std::chrono::seconds(1);
// A home is considered unreachable if no expected wait has arrived from it for this many exchange periods.
constexpr int maxMissedPeriods = 3;
// Size of a control message with an expected wait, the pool id and HTTP/2 framing.
constexpr std::uint64_t exchangeBytes = 60;
// Expected waits are piggybacked on responses, at most once in this time for each entry host. Sending one with every
// response would exceed the 14 KB per second that a daemon may use for control traffic.
constexpr Duration piggybackPeriod = std::chrono::milliseconds(5);
constexpr std::uint64_t piggybackBytes = 8;
constexpr ByteCount shortBytes { 20'000 };
// Spilled long work is charged to the link as its rule declares. Here, its size relative to short work is the same as
// its relative duration.
constexpr ByteCount longBytes { 800'000 };
const ServiceId service("service");
const RuleId rule("rule");

ByteCount bytesOf(const Arrival& arrival) { return arrival.isLong ? longBytes : shortBytes; }

std::string nameOf(std::size_t index) { return std::to_string(index); }

} // namespace

HomePlacement::HomePlacement(Simulation& simulation, HomeSettings settings)
    : m_simulation(simulation)
    , m_settings(settings)
    , m_fallback(simulation, { twoChoicesByOwnRequests(), false, false, true })
{
    const Deployment& deployment = simulation.deployment();
    m_topology.delayWithinRegion = deployment.withinRegion;
    m_topology.delayBetweenRegions = deployment.betweenRegions;
    for (std::size_t n = 0; n < deployment.dataCentres; ++n) {
        m_topology.dataCentres.push_back({ DataCentreId(nameOf(n)), RegionId(nameOf(Deployment::regionOf(n))) });
        m_homes.push_back({ n, makePool(n), 0, 0, std::vector<TimePoint>(deployment.entryHosts) });
    }
    for (std::size_t host = 0; host < deployment.entryHosts; ++host)
        m_entryHosts.push_back(makeEntryHost(host));
    for (std::size_t n = 0; n < deployment.dataCentres; ++n)
        sendExpectedWaits(n);
    simulation.onHostLost([this](std::size_t host) { handleHostLoss(host); });
}

HomePlacement::EntryHost HomePlacement::makeEntryHost(std::size_t host) const
{
    const Deployment& deployment = m_simulation.deployment();
    const DataCentreId own(nameOf(deployment.dataCentreOfHost(host)));
    EntryHost entry { PoolChooser(m_topology, own),
        LinkBudget(m_topology.linkBytesPerSecond, std::chrono::seconds(1), m_simulation.now()), LongWorkClassifier(),
        {}, std::vector<TimePoint>(deployment.dataCentres), {}, false };
    for (std::size_t n = 0; n < deployment.dataCentres; ++n)
        entry.states.push_back({ DataCentreId(nameOf(n)), {}, true, {} });
    entry.forwarded.resize(deployment.dataCentres);
    return entry;
}

std::unique_ptr<Pool> HomePlacement::makePool(std::size_t dataCentre)
{
    const Deployment& deployment = m_simulation.deployment();
    PoolLimits limits;
    limits.queuePerSlot = m_simulation.options().queuePerSlot;
    limits.allowance.minRequests = SlotCount(m_simulation.options().leastAllowance);
    limits.allowance.maxRequests = SlotCount(m_simulation.options().mostAllowance);
    limits.longSlotsPerEndpoint = SlotCount(m_simulation.options().longSlots);
    limits.longWorkShare = Fraction(m_simulation.options().longWorkShare);
    std::vector<PoolEndpoint> endpoints;
    for (std::size_t n = 0; n < deployment.endpoints; ++n) {
        if (deployment.dataCentreOfEndpoint(n) == dataCentre)
            endpoints.push_back({ EndpointId(nameOf(n)), SlotCount(deployment.slots), false });
    }
    auto pool = std::make_unique<Pool>(PoolId { service, DataCentreId(nameOf(dataCentre)) }, limits, leastLoaded());
    pool->observeRoundTrip(2 * deployment.withinDataCentre);
    pool->reconfigure(endpoints, limits, context());
    return pool;
}

void HomePlacement::handleHostLoss(std::size_t host)
{
    const std::size_t dataCentre = m_simulation.deployment().dataCentreOfHost(host);
    if (m_homes[dataCentre].host != host)
        return;
    ++m_homes[dataCentre].generation;
    m_homes[dataCentre].pool.reset();
    m_simulation.events().at(m_simulation.now() + bypassAfter, [this, dataCentre] { bypassHome(dataCentre); });
    m_simulation.events().at(m_simulation.now() + replaceAfter, [this, dataCentre] { replaceHome(dataCentre); });
}

// Sends the requests that wait at the lost home again, which is safe because all simulated requests are idempotent.
void HomePlacement::bypassHome(std::size_t dataCentre)
{
    for (std::size_t host = 0; host < m_entryHosts.size(); ++host) {
        if (!m_simulation.isAlive(host))
            continue;
        EntryHost& entry = m_entryHosts[host];
        const bool isOwn = m_simulation.deployment().dataCentreOfHost(host) == dataCentre;
        entry.isHomeBypassed = entry.isHomeBypassed || isOwn;
        entry.states[dataCentre].isReachable = false;
        for (const RequestIndex index : std::exchange(entry.forwarded[dataCentre], {})) {
            m_admitted.erase(index);
            m_fallback.submit(index);
        }
    }
}

void HomePlacement::replaceHome(std::size_t dataCentre)
{
    Home& home = m_homes[dataCentre];
    home.host += m_simulation.deployment().dataCentres;
    home.pool = makePool(dataCentre);
    for (std::size_t host = dataCentre; host < m_entryHosts.size(); host += m_simulation.deployment().dataCentres) {
        m_entryHosts[host].isHomeBypassed = false;
        updateExpectedWait(host, dataCentre, {});
    }
    sendExpectedWaits(dataCentre);
}

// Sends the expected wait of the home's pool to all members in other data centres. The members in its own data centre
// receive it with responses.
void HomePlacement::sendExpectedWaits(std::size_t dataCentre)
{
    const Home& home = m_homes[dataCentre];
    if (!home.pool || m_simulation.now() >= TimePoint(m_simulation.options().duration))
        return;
    const Duration wait = home.pool->expectedWait(m_simulation.now());
    for (std::size_t host = 0; host < m_entryHosts.size(); ++host) {
        const std::size_t other = m_simulation.deployment().dataCentreOfHost(host);
        if (other == dataCentre)
            continue;
        m_simulation.addMeasurementCost(home.host, 1, exchangeBytes);
        m_simulation.send(
            dataCentre, other, [this, host, dataCentre, wait] { updateExpectedWait(host, dataCentre, wait); });
    }
    const auto generation = home.generation;
    m_simulation.events().at(m_simulation.now() + m_simulation.scenario().reportPeriod, [this, dataCentre, generation] {
        if (m_homes[dataCentre].generation == generation)
            sendExpectedWaits(dataCentre);
    });
}

void HomePlacement::updateExpectedWait(std::size_t host, std::size_t dataCentre, Duration wait)
{
    EntryHost& entry = m_entryHosts[host];
    entry.states[dataCentre].expectedWait = wait;
    entry.states[dataCentre].isReachable = true;
    entry.updatedAt[dataCentre] = m_simulation.now();
}

void HomePlacement::submit(RequestIndex index)
{
    const Arrival& arrival = m_simulation.request(index).arrival;
    EntryHost& entry = m_entryHosts[arrival.host];
    if (entry.isHomeBypassed)
        return m_fallback.submit(index);
    updateAges(entry, dataCentreOf(index));
    const auto choice = entry.chooser.choose(entry.states, bytesOf(arrival), entry.link, context());
    if (choice)
        forward(index, std::stoul(choice->dataCentre.value()));
}

void HomePlacement::retryAfterRefusal(RequestIndex index)
{
    const Arrival& arrival = m_simulation.request(index).arrival;
    EntryHost& entry = m_entryHosts[arrival.host];
    updateAges(entry, dataCentreOf(index));
    const std::vector<PoolRefusal> refusals { { DataCentreId(nameOf(dataCentreOf(index))), ErrorKind::QueueFull } };
    const auto choice
        = entry.chooser.chooseAfterRefusal(entry.states, refusals, bytesOf(arrival), entry.link, context());
    if (choice)
        forward(index, std::stoul(choice->dataCentre.value()));
}

void HomePlacement::updateAges(EntryHost& entry, std::size_t own) const
{
    const Duration maxAge = maxMissedPeriods * m_simulation.scenario().reportPeriod;
    for (std::size_t n = 0; n < entry.states.size(); ++n) {
        entry.states[n].age = m_simulation.now() - entry.updatedAt[n];
        if (n != own && entry.states[n].age > maxAge)
            entry.states[n].isReachable = false;
    }
}

void HomePlacement::forward(RequestIndex index, std::size_t dataCentre)
{
    const Arrival& arrival = m_simulation.request(index).arrival;
    EntryHost& entry = m_entryHosts[arrival.host];
    std::optional<WorkClass> declared;
    if (m_simulation.scenario().isLongDeclared)
        declared = arrival.isLong ? WorkClass::Long : WorkClass::Short;
    auto workClass = entry.classifier.classify(declared, service, rule, arrival.isLong ? "/packs" : "/previews");
    if (!m_settings.limitsLongWork)
        workClass = WorkClass::Short;
    entry.forwarded[dataCentre].insert(index);
    m_simulation.send(dataCentreOf(index), dataCentre,
        [this, index, dataCentre, workClass] { admit(index, dataCentre, workClass, {}); });
}

void HomePlacement::admit(
    RequestIndex index, std::size_t dataCentre, WorkClass workClass, std::vector<EndpointId> excluded)
{
    Home& home = m_homes[dataCentre];
    if (!home.pool)
        return;
    const Request& request = m_simulation.request(index);
    // The time that the response takes back to the entry host counts against the deadline.
    const TimePoint deadline = request.deadline - m_simulation.deployment().delay(dataCentre, dataCentreOf(index));
    m_admitted[index] = { workClass, excluded };
    perform(dataCentre,
        home.pool->admit(
            { RequestId(index), workClass, Priority::Normal, deadline, std::move(excluded), true }, context()));
}

void HomePlacement::perform(std::size_t dataCentre, const PoolActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* dispatched = std::get_if<Dispatch>(&action))
            dispatch(dataCentre, dispatched->request.value(), std::stoul(dispatched->endpoint.value()));
        else if (const auto* refused = std::get_if<Refuse>(&action))
            sendResponse(
                dataCentre, refused->request.value(), { JobResult::Refused, m_simulation.now(), m_simulation.now() });
        else if (const auto* timer = std::get_if<ArmTimer>(&action))
            armTimer(dataCentre, timer->at);
    }
}

void HomePlacement::armTimer(std::size_t dataCentre, TimePoint at)
{
    const auto timer = ++m_homes[dataCentre].timer;
    m_simulation.events().at(at, [this, dataCentre, timer] {
        Home& home = m_homes[dataCentre];
        if (home.pool && home.timer == timer)
            perform(dataCentre, home.pool->expire(context()));
    });
}

void HomePlacement::dispatch(std::size_t dataCentre, RequestIndex index, std::size_t endpoint)
{
    const std::uint64_t generation = m_homes[dataCentre].generation;
    const bool hasPermit = m_admitted[index].workClass == WorkClass::Long && dataCentreOf(index) == dataCentre;
    if (!hasPermit) {
        runAt(endpoint, dataCentre, index, [this, dataCentre, generation, index](const JobOutcome& outcome) {
            completeAtHome(dataCentre, generation, index, outcome);
        });
        return;
    }
    m_simulation.send(dataCentre, dataCentre, [this, dataCentre, generation, index, endpoint] {
        runAt(endpoint, dataCentre, index, [this, dataCentre, generation, index](const JobOutcome& outcome) {
            if (outcome.result == JobResult::Served)
                receiveResponse(index, dataCentre, outcome, {});
            m_simulation.send(dataCentre, dataCentre, [this, dataCentre, generation, index, outcome] {
                completeAtHome(dataCentre, generation, index, outcome);
            });
        });
    });
}

void HomePlacement::runAt(
    std::size_t endpoint, std::size_t via, RequestIndex index, std::function<void(const JobOutcome&)> answered)
{
    const auto ended = [this, via, answered = std::move(answered)](const JobOutcome& outcome) {
        m_simulation.send(via, via, [answered, outcome] { answered(outcome); });
    };
    m_simulation.send(via, via, [this, endpoint, index, ended] {
        const Request& request = m_simulation.request(index);
        m_simulation.endpoint(endpoint).submit({ request.arrival.service, request.deadline, ended });
    });
}

void HomePlacement::completeAtHome(
    std::size_t dataCentre, std::uint64_t generation, RequestIndex index, const JobOutcome& outcome)
{
    Home& home = m_homes[dataCentre];
    if (home.generation != generation || !home.pool)
        return;
    const Duration serviceTime = outcome.ended - outcome.started;
    const auto result = outcome.result == JobResult::Served ? CompletionResult::Answered
        : outcome.result == JobResult::Refused              ? CompletionResult::Refused
                                                            : CompletionResult::Cancelled;
    perform(dataCentre, home.pool->complete(RequestId(index), { result, serviceTime, {}, false }, context()));
    sendResponse(dataCentre, index, outcome);
}

// Sends the response from the home to the entry host, with the pool's expected wait if it is due again.
void HomePlacement::sendResponse(std::size_t dataCentre, RequestIndex index, const JobOutcome& outcome)
{
    m_admitted.erase(index);
    Home& home = m_homes[dataCentre];
    TimePoint& sentAt = home.sentAt[m_simulation.request(index).arrival.host];
    std::optional<Duration> wait;
    if (m_simulation.now() - sentAt >= piggybackPeriod) {
        sentAt = m_simulation.now();
        wait = home.pool->expectedWait(m_simulation.now());
        m_simulation.addMeasurementCost(home.host, 0, piggybackBytes);
    }
    m_simulation.send(dataCentre, dataCentreOf(index),
        [this, index, dataCentre, outcome, wait] { receiveResponse(index, dataCentre, outcome, wait); });
}

void HomePlacement::receiveResponse(
    RequestIndex index, std::size_t dataCentre, const JobOutcome& outcome, std::optional<Duration> wait)
{
    const Arrival& arrival = m_simulation.request(index).arrival;
    EntryHost& entry = m_entryHosts[arrival.host];
    if (!m_simulation.isAlive(arrival.host) || entry.forwarded[dataCentre].erase(index) == 0)
        return;
    if (wait)
        updateExpectedWait(arrival.host, dataCentre, *wait);
    if (outcome.result == JobResult::Served)
        entry.classifier.record(
            service, rule, arrival.isLong ? "/packs" : "/previews", outcome.ended - outcome.started, bytesOf(arrival));
    if (outcome.result == JobResult::Refused && dataCentre == dataCentreOf(index))
        return retryAfterRefusal(index);
    m_simulation.recordResponse(index, outcome);
}

std::size_t HomePlacement::dataCentreOf(RequestIndex index) const
{
    return m_simulation.deployment().dataCentreOfHost(m_simulation.request(index).arrival.host);
}

} // namespace dogwoodhall::bench
