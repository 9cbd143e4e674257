#include "HomePlacement.h"

#include <string>
#include <utility>

namespace dogwoodhall::bench {

namespace {

// A member bypasses a home from which it has heard nothing for this time while requests wait there.
constexpr Duration bypassAfter = std::chrono::milliseconds(100);
// A lost home is replaced when gossip has found the loss: two periods of 500 ms.
constexpr Duration replaceAfter = std::chrono::seconds(1);
// A home not heard of for this many exchange periods is taken for unreachable.
constexpr int silentPeriods = 3;
// An expected wait with pool id and HTTP/2 framing, as one control message.
constexpr std::uint64_t exchangeBytes = 60;
// An expected wait travels with an answer, at most this often to each entry host: with every answer it would exceed the
// 14 KB a second that a daemon may spend.
constexpr Duration piggybackPeriod = std::chrono::milliseconds(5);
constexpr std::uint64_t piggybackBytes = 8;
constexpr ByteCount shortBytes { 20'000 };
// Spilled long work is charged as its rule declares; the bench gives it as many times the bytes as the duration.
constexpr ByteCount longBytes { 800'000 };
const ServiceId service("service");
const RuleId rule("rule");

ByteCount bytesOf(const Arrival& arrival) { return arrival.isLong ? longBytes : shortBytes; }

std::string nameOf(std::size_t index) { return std::to_string(index); }

} // namespace

HomePlacement::HomePlacement(World& world, HomeSettings settings)
    : m_world(world)
    , m_settings(settings)
    , m_fallback(world, { twoChoicesOnOutstanding(), false, false, true })
{
    const Deployment& deployment = world.deployment();
    m_topology.delayWithinRegion = deployment.withinRegion;
    m_topology.delayBetweenRegions = deployment.betweenRegions;
    for (std::size_t n = 0; n < deployment.dataCentres; ++n) {
        m_topology.dataCentres.push_back({ DataCentreId(nameOf(n)), RegionId(nameOf(Deployment::regionOf(n))) });
        m_homes.push_back({ n, makePool(n), 0, 0, std::vector<TimePoint>(deployment.entryHosts) });
    }
    for (std::size_t host = 0; host < deployment.entryHosts; ++host)
        m_entries.push_back(makeEntry(host));
    for (std::size_t n = 0; n < deployment.dataCentres; ++n)
        exchangeWaits(n);
    world.onHostLost([this](std::size_t host) { hostLost(host); });
}

HomePlacement::Entry HomePlacement::makeEntry(std::size_t host) const
{
    const Deployment& deployment = m_world.deployment();
    const DataCentreId own(nameOf(deployment.dataCentreOfHost(host)));
    Entry entry { PoolChooser(m_topology, own),
        LinkBudget(m_topology.linkBytesPerSecond, std::chrono::seconds(1), m_world.now()), LongWorkClassifier(), {},
        std::vector<TimePoint>(deployment.dataCentres), {}, false };
    for (std::size_t n = 0; n < deployment.dataCentres; ++n)
        entry.states.push_back({ DataCentreId(nameOf(n)), {}, true, {} });
    entry.forwarded.resize(deployment.dataCentres);
    return entry;
}

std::unique_ptr<Pool> HomePlacement::makePool(std::size_t dataCentre)
{
    const Deployment& deployment = m_world.deployment();
    PoolLimits limits;
    limits.queuePerSlot = m_world.options().queuePerSlot;
    limits.allowance = SlotCount(m_world.options().allowance);
    limits.longSlotsPerEndpoint = SlotCount(m_world.options().longSlots);
    limits.longWorkShare = Fraction(m_world.options().longWorkShare);
    std::vector<PoolEndpoint> endpoints;
    for (std::size_t n = 0; n < deployment.endpoints; ++n) {
        if (deployment.dataCentreOfEndpoint(n) == dataCentre)
            endpoints.push_back({ EndpointId(nameOf(n)), SlotCount(deployment.slots), false });
    }
    auto pool = std::make_unique<Pool>(PoolId { service, DataCentreId(nameOf(dataCentre)) }, limits, leastInUse());
    pool->reconfigure(endpoints, limits, context());
    return pool;
}

void HomePlacement::hostLost(std::size_t host)
{
    const std::size_t dataCentre = m_world.deployment().dataCentreOfHost(host);
    if (m_homes[dataCentre].host != host)
        return;
    ++m_homes[dataCentre].generation;
    m_homes[dataCentre].pool.reset();
    m_world.events().at(m_world.now() + bypassAfter, [this, dataCentre] { bypassHome(dataCentre); });
    m_world.events().at(m_world.now() + replaceAfter, [this, dataCentre] { replaceHome(dataCentre); });
}

// Requests that wait at the lost home are sent again: the bench's requests are idempotent.
void HomePlacement::bypassHome(std::size_t dataCentre)
{
    for (std::size_t host = 0; host < m_entries.size(); ++host) {
        if (!m_world.isAlive(host))
            continue;
        Entry& entry = m_entries[host];
        const bool isOwn = m_world.deployment().dataCentreOfHost(host) == dataCentre;
        entry.isHomeSilent = entry.isHomeSilent || isOwn;
        entry.states[dataCentre].isReachable = false;
        for (const RequestIndex index : std::exchange(entry.forwarded[dataCentre], {})) {
            m_placed.erase(index);
            m_fallback.submit(index);
        }
    }
}

void HomePlacement::replaceHome(std::size_t dataCentre)
{
    Home& home = m_homes[dataCentre];
    home.host += m_world.deployment().dataCentres;
    home.pool = makePool(dataCentre);
    for (std::size_t host = dataCentre; host < m_entries.size(); host += m_world.deployment().dataCentres) {
        m_entries[host].isHomeSilent = false;
        hear(host, dataCentre, {});
    }
    exchangeWaits(dataCentre);
}

// The home tells every member of other data centres how long its pool's queue is; its own members hear it with the
// answers.
void HomePlacement::exchangeWaits(std::size_t dataCentre)
{
    const Home& home = m_homes[dataCentre];
    if (!home.pool || m_world.now() >= TimePoint(m_world.options().duration))
        return;
    const Duration wait = home.pool->expectedWait(m_world.now());
    for (std::size_t host = 0; host < m_entries.size(); ++host) {
        const std::size_t other = m_world.deployment().dataCentreOfHost(host);
        if (other == dataCentre)
            continue;
        m_world.chargeMeasuring(home.host, 1, exchangeBytes);
        m_world.send(dataCentre, other, [this, host, dataCentre, wait] { hear(host, dataCentre, wait); });
    }
    const auto generation = home.generation;
    m_world.events().at(m_world.now() + m_world.scenario().reportPeriod, [this, dataCentre, generation] {
        if (m_homes[dataCentre].generation == generation)
            exchangeWaits(dataCentre);
    });
}

void HomePlacement::hear(std::size_t host, std::size_t dataCentre, Duration wait)
{
    Entry& entry = m_entries[host];
    entry.states[dataCentre].expectedWait = wait;
    entry.states[dataCentre].isReachable = true;
    entry.heardAt[dataCentre] = m_world.now();
}

void HomePlacement::submit(RequestIndex index)
{
    const Arrival& arrival = m_world.request(index).arrival;
    Entry& entry = m_entries[arrival.host];
    if (entry.isHomeSilent)
        return m_fallback.submit(index);
    updateAges(entry, dataCentreOf(index));
    const auto choice = entry.chooser.choose(entry.states, bytesOf(arrival), entry.link, context());
    if (choice)
        forward(index, std::stoul(choice->dataCentre.value()));
}

void HomePlacement::retryAfterRefusal(RequestIndex index)
{
    const Arrival& arrival = m_world.request(index).arrival;
    Entry& entry = m_entries[arrival.host];
    updateAges(entry, dataCentreOf(index));
    const std::vector<PoolRefusal> refusals { { DataCentreId(nameOf(dataCentreOf(index))), ErrorKind::QueueFull } };
    const auto choice
        = entry.chooser.chooseAfterRefusal(entry.states, refusals, bytesOf(arrival), entry.link, context());
    if (choice)
        forward(index, std::stoul(choice->dataCentre.value()));
}

void HomePlacement::updateAges(Entry& entry, std::size_t own) const
{
    const Duration silence = silentPeriods * m_world.scenario().reportPeriod;
    for (std::size_t n = 0; n < entry.states.size(); ++n) {
        entry.states[n].age = m_world.now() - entry.heardAt[n];
        if (n != own && entry.states[n].age > silence)
            entry.states[n].isReachable = false;
    }
}

void HomePlacement::forward(RequestIndex index, std::size_t dataCentre)
{
    const Arrival& arrival = m_world.request(index).arrival;
    Entry& entry = m_entries[arrival.host];
    std::optional<WorkClass> declared;
    if (m_world.scenario().isLongDeclared)
        declared = arrival.isLong ? WorkClass::Long : WorkClass::Short;
    auto workClass = entry.classifier.classify(declared, service, rule, arrival.isLong ? "/packs" : "/previews");
    if (!m_settings.limitsLongWork)
        workClass = WorkClass::Short;
    entry.forwarded[dataCentre].insert(index);
    m_world.send(dataCentreOf(index), dataCentre,
        [this, index, dataCentre, workClass] { admit(index, dataCentre, workClass, {}); });
}

void HomePlacement::admit(
    RequestIndex index, std::size_t dataCentre, WorkClass workClass, std::vector<EndpointId> excluded)
{
    Home& home = m_homes[dataCentre];
    if (!home.pool)
        return;
    const Request& request = m_world.request(index);
    // The answer's way back counts against the deadline.
    const TimePoint deadline = request.deadline - m_world.deployment().delay(dataCentre, dataCentreOf(index));
    m_placed[index] = { workClass, excluded };
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
            answer(dataCentre, refused->request.value(), { JobResult::Refused, m_world.now(), m_world.now() });
        else if (const auto* timer = std::get_if<ArmTimer>(&action))
            armTimer(dataCentre, timer->at);
    }
}

void HomePlacement::armTimer(std::size_t dataCentre, TimePoint at)
{
    const auto timer = ++m_homes[dataCentre].timer;
    m_world.events().at(at, [this, dataCentre, timer] {
        Home& home = m_homes[dataCentre];
        if (home.pool && home.timer == timer)
            perform(dataCentre, home.pool->expire(context()));
    });
}

void HomePlacement::dispatch(std::size_t dataCentre, RequestIndex index, std::size_t endpoint)
{
    const std::uint64_t generation = m_homes[dataCentre].generation;
    const bool hasPermit = m_placed[index].workClass == WorkClass::Long && dataCentreOf(index) == dataCentre;
    if (!hasPermit) {
        runAt(endpoint, dataCentre, index, [this, dataCentre, generation, index](const JobOutcome& outcome) {
            completeAtHome(dataCentre, generation, index, outcome);
        });
        return;
    }
    m_world.send(dataCentre, dataCentre, [this, dataCentre, generation, index, endpoint] {
        runAt(endpoint, dataCentre, index, [this, dataCentre, generation, index](const JobOutcome& outcome) {
            if (outcome.result == JobResult::Served)
                answered(index, dataCentre, outcome, {});
            m_world.send(dataCentre, dataCentre, [this, dataCentre, generation, index, outcome] {
                completeAtHome(dataCentre, generation, index, outcome);
            });
        });
    });
}

void HomePlacement::runAt(
    std::size_t endpoint, std::size_t via, RequestIndex index, std::function<void(const JobOutcome&)> answered)
{
    const auto ended = [this, via, answered = std::move(answered)](const JobOutcome& outcome) {
        m_world.send(via, via, [answered, outcome] { answered(outcome); });
    };
    m_world.send(via, via, [this, endpoint, index, ended] {
        const Request& request = m_world.request(index);
        m_world.endpoint(endpoint).submit({ request.arrival.service, request.deadline, ended });
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
    answer(dataCentre, index, outcome);
}

// Sends the answer from the home to the entry host; the pool's expected wait travels with it.
void HomePlacement::answer(std::size_t dataCentre, RequestIndex index, const JobOutcome& outcome)
{
    m_placed.erase(index);
    Home& home = m_homes[dataCentre];
    TimePoint& toldAt = home.toldAt[m_world.request(index).arrival.host];
    std::optional<Duration> wait;
    if (m_world.now() - toldAt >= piggybackPeriod) {
        toldAt = m_world.now();
        wait = home.pool->expectedWait(m_world.now());
        m_world.chargeMeasuring(home.host, 0, piggybackBytes);
    }
    m_world.send(dataCentre, dataCentreOf(index),
        [this, index, dataCentre, outcome, wait] { answered(index, dataCentre, outcome, wait); });
}

void HomePlacement::answered(
    RequestIndex index, std::size_t dataCentre, const JobOutcome& outcome, std::optional<Duration> wait)
{
    const Arrival& arrival = m_world.request(index).arrival;
    Entry& entry = m_entries[arrival.host];
    if (!m_world.isAlive(arrival.host) || entry.forwarded[dataCentre].erase(index) == 0)
        return;
    if (wait)
        hear(arrival.host, dataCentre, *wait);
    if (outcome.result == JobResult::Served)
        entry.classifier.record(
            service, rule, arrival.isLong ? "/packs" : "/previews", outcome.ended - outcome.started, bytesOf(arrival));
    if (outcome.result == JobResult::Refused && dataCentre == dataCentreOf(index))
        return retryAfterRefusal(index);
    m_world.served(index, outcome);
}

std::size_t HomePlacement::dataCentreOf(RequestIndex index) const
{
    return m_world.deployment().dataCentreOfHost(m_world.request(index).arrival.host);
}

} // namespace dogwoodhall::bench
