#include "dogwoodhall/daemon/ControlThread.h"

#include "dogwoodhall/budget/PingBudget.h"
#include "dogwoodhall/daemon/PoolShard.h"
#include "dogwoodhall/declarations/RecordParser.h"
#include "dogwoodhall/telemetry/Logging.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace dogwoodhall {

namespace {

// Ten times what the design size's changes need on average; a member that joins gets all records in minutes at that
// size, and at once at today's.
constexpr ByteCount recordBytesPerSecond { 256 * 1024 };
constexpr ByteCount recordBurst { 2 * 1024 * 1024 };
// Loads of a pool whose home has moved away are no longer passed on.
constexpr Duration ownLoadLifetime = std::chrono::seconds(1);
// A pool's load in a gossip message, with ids of 15 characters.
constexpr std::uint64_t loadBytes = 64;

} // namespace

ControlThread::ControlThread(const Settings& settings, Incarnation incarnation, DaemonMetrics& metrics, Hooks hooks)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_configuration(parseRecord)
    , m_joinBarrier(monotonicNow())
    , m_budget(shareMeasuring(
          { settings.measuringCallsPerSecond, settings.measuringBytesPerSecond }, settings.trafficThreads)
                   .control)
    , m_recordBytes(recordBytesPerSecond, recordBurst)
    , m_platform(m_io, settings.platformAddress,
          { [this] { return m_gossip->fleet().isWatcher(); }, [this] { return m_configuration.highestRevision(); },
              [this] { return m_gossip->fleet().hostListPeriod(); },
              [this](const RecordBatch& batch) {
                  m_joinBarrier.platformAnswered(batch.highest);
                  acceptRecords(batch.records);
              },
              [this](const HostList& hosts) { acceptHosts(hosts); } },
          metrics)
    , m_operators(m_io,
          { [this] { return m_isReady && !m_isDraining; }, [this] { return m_hooks.metricsText(); },
              [this] { return toJson(statusReport()); }, [this] { m_hooks.beginDrain(); },
              [this] { m_hooks.stopNow(); } })
    , m_spans(m_io, settings.traceCollector, settings.member.value(), metrics.spansDropped)
    , m_prober(m_io,
          { [this] { return probeTargets(); }, [this](ByteCount size) { return pay(MeasuringCategory::Health, size); },
              [this](const ProbeTarget& target, const HealthReport& report) { m_hooks.reportHealth(target, report); } })
{
}

ControlThread::~ControlThread() = default;

NetworkAddress ControlThread::listen() { return m_operators.listen(m_settings.adminAddress); }

void ControlThread::start(const NetworkAddress& peerAddress)
{
    Member self;
    self.id = m_settings.member;
    self.dataCentre = m_settings.dataCentre;
    self.peerAddress = peerAddress;
    self.incarnation = m_incarnation;
    Fleet::Hooks sources { [this] { return m_configuration.digest(); },
        [this](Revision since, ByteCount limit) { return m_configuration.recordsSince(since, limit); },
        [this](ByteCount limit) { return recordsUnderRejections(limit); },
        [this](std::size_t most) { return ownLoads(most); } };
    GossipDriver::Hooks hooks { [this] { publish(); },
        [this](const std::vector<Record>& records) { acceptRecords(records); },
        [this](const std::vector<PoolLoadSummary>& loads) { m_hooks.observeLoads(loads); },
        [this](Duration gap) {
            m_metrics.wakeUps.add();
            m_joinBarrier.expire(monotonicNow());
            DOGWOODHALL_LOG(fleet, warning) << "The process was paused for " << toSeconds(gap) << " s.";
            updateReadiness();
        },
        [this](const GossipMessage& message, ByteCount size) { return payGossip(message, size); },
        [this](const GossipMessage& reply) {
            m_joinBarrier.peerAnswered(reply.sender.id, reply.configuration.highest, reply.sender.isReady);
            updateReadiness();
        },
        [this] { updateReadiness(); } };
    m_gossip = std::make_unique<GossipDriver>(m_io, self, std::move(sources), std::move(hooks), m_metrics);
    asio::co_spawn(m_io, m_gossip->run(), asio::detached);
    asio::co_spawn(m_io, m_platform.watchRecords(), asio::detached);
    asio::co_spawn(m_io, m_platform.watchHosts(), asio::detached);
    asio::co_spawn(m_io, m_spans.run(), asio::detached);
    asio::co_spawn(m_io, m_prober.run(), asio::detached);
}

bool ControlThread::pay(MeasuringCategory category, ByteCount size)
{
    if (!m_budget.trySpend(category, size, monotonicNow())) {
        m_metrics.denied(category).add();
        return false;
    }
    m_metrics.sent(category).add();
    m_metrics.controlBytes.add(size.count());
    return true;
}

// Records are paid from a bucket of their own: a member that joins or was cut off needs more of them at once than the
// measuring budget holds.
bool ControlThread::payGossip(const GossipMessage& message, ByteCount size)
{
    ByteCount records;
    for (const auto& record : message.records)
        records += estimatedSize(record);
    records = std::min(records, size);
    if (records > ByteCount(0) && !m_recordBytes.tryTake(records, monotonicNow())) {
        m_metrics.denied(MeasuringCategory::Configuration).add();
        return false;
    }
    return pay(MeasuringCategory::Membership, size - records);
}

void ControlThread::setOwnLoads(const std::vector<PoolLoadSummary>& loads)
{
    const TimePoint now = monotonicNow();
    for (const auto& load : loads)
        m_ownLoads[load.pool] = { load, now };
}

std::vector<Record> ControlThread::recordsUnderRejections(ByteCount limit)
{
    auto records = m_configuration.inForceUnderRejections(m_lastUnderRejection, limit);
    if (!records.empty())
        m_lastUnderRejection = records.back().key;
    return records;
}

// A few pools for each message, in turn; none while the budget is short, so that the rest of the message still passes.
std::vector<PoolLoadSummary> ControlThread::ownLoads(std::size_t most)
{
    const TimePoint now = monotonicNow();
    std::erase_if(m_ownLoads, [&](const auto& item) { return now - item.second.measuredAt > ownLoadLifetime; });
    std::vector<PoolLoadSummary> loads;
    const std::size_t count = std::min(most, m_ownLoads.size());
    if (count > 0 && !m_budget.hasRoom(MeasuringCategory::LoadMeasurement, ByteCount(count * loadBytes), now)) {
        m_metrics.denied(MeasuringCategory::LoadMeasurement).add();
        return loads;
    }
    auto it = m_ownLoads.upper_bound(m_lastSentLoad);
    for (std::size_t n = 0; n < count; ++n) {
        if (it == m_ownLoads.end())
            it = m_ownLoads.begin();
        loads.push_back(it->second.load);
        loads.back().age = now - it->second.measuredAt;
        m_lastSentLoad = it->first;
        ++it;
    }
    return loads;
}

std::vector<ProbeTarget> ControlThread::probeTargets() const
{
    std::vector<ProbeTarget> targets;
    for (const auto& service : m_configuration.sharedServices()) {
        for (const auto& endpoint : service->endpoints) {
            const PoolId pool { service->id, endpoint.dataCentre };
            if (m_gossip->fleet().homeOf(pool) == m_settings.member)
                targets.push_back({ pool, endpoint.id, endpoint.address });
        }
    }
    return targets;
}

tl::expected<std::string, std::string> ControlThread::answerGossip(std::string_view request)
{
    return m_gossip->answer(request);
}

void ControlThread::acceptRecords(const std::vector<Record>& records)
{
    bool hasChanged = false;
    for (const auto& record : records) {
        const auto outcome = m_configuration.offer(record);
        hasChanged = hasChanged || outcome.result == OfferResult::Accepted;
        if (outcome.result == OfferResult::Rejected) {
            m_metrics.recordsRejected.add();
            DOGWOODHALL_LOG(config, error) << "Rejected record: " << outcome.reason << ".";
        }
    }
    if (hasChanged) {
        DOGWOODHALL_LOG(config, info) << "Revision " << m_configuration.highestRevision() << " is in force.";
        std::map<DataCentreId, RegionId> regions;
        for (const auto& dataCentre : m_configuration.topology().dataCentres)
            regions.emplace(dataCentre.id, dataCentre.region);
        m_gossip->fleet().setRegions(std::move(regions));
    }
    m_metrics.configurationRevision.set(m_configuration.highestRevision().value());
    const bool isPublished = updateReadiness();
    if (hasChanged && !isPublished)
        publish();
}

void ControlThread::acceptHosts(const HostList& hosts)
{
    if (hosts.version <= m_hosts.version)
        return;
    m_hosts = hosts;
    const auto entryHosts = listedEntryHosts();
    const bool listsSelf = std::any_of(
        entryHosts.begin(), entryHosts.end(), [&](const ListedHost& host) { return host.id == m_settings.member; });
    m_joinBarrier.setListedPeers(entryHosts.size() - (listsSelf ? 1 : 0));
    m_gossip->perform(m_gossip->fleet().applyHostList(entryHosts, monotonicNow()));
    publish();
}

std::vector<ListedHost> ControlThread::listedEntryHosts() const
{
    std::vector<ListedHost> listed;
    for (const auto& host : m_hosts.hosts) {
        if (host.isEntry)
            listed.push_back({ MemberId(host.id.value()), host.dataCentre, host.address, host.isLeaving });
    }
    return listed;
}

// True where readiness has changed, and with it what is published.
bool ControlThread::updateReadiness()
{
    const Revision held = m_configuration.highestRevision();
    const bool hasServices = !m_configuration.sharedServices().empty();
    const bool isReady = hasServices && m_joinBarrier.isReady(held, monotonicNow());
    if (isReady == m_isReady)
        return false;
    m_isReady = isReady;
    m_gossip->fleet().setReady(isReady);
    DOGWOODHALL_LOG(daemon, info) << (isReady ? "Ready." : "Not ready.");
    publish();
    return true;
}

// An event that waited during a pause must not publish readiness from before it.
void ControlThread::publish()
{
    m_gossip->checkPause();
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->revision = m_configuration.highestRevision();
    snapshot->routes = RouteTable(m_configuration.sharedServices());
    snapshot->topology = m_configuration.topology();
    snapshot->memberIps.insert(m_settings.peerAddress.ip);
    for (const auto& host : m_hosts.hosts) {
        if (host.isEntry)
            snapshot->memberIps.insert(host.address.ip);
    }
    snapshot->leavingUpstreamHosts = leavingUpstreamHosts();
    snapshot->isReady = m_isReady;
    snapshot->isDraining = m_isDraining;
    addHomes(*snapshot);
    m_hooks.publish(std::move(snapshot));
}

void ControlThread::addHomes(Snapshot& snapshot) const
{
    const Fleet& fleet = m_gossip->fleet();
    for (const auto* member : knownEntryHosts()) {
        if (member->state != MemberState::Gone)
            snapshot.members[member->id] = { member->id, member->peerAddress };
    }
    for (const auto& [pool, home, hasEndpoint] : placedPools(snapshot.leavingUpstreamHosts)) {
        const Member* member = home ? fleet.find(*home) : nullptr;
        if (member)
            snapshot.remoteHomes.emplace(pool, PoolHome { member->id, member->peerAddress });
        const bool hasHome = home.has_value() || pool.dataCentre == m_settings.dataCentre;
        snapshot.poolsOf[pool.service].push_back({ pool.dataCentre, hasHome && hasEndpoint });
    }
}

// Members of the host list, in its order. This member is not among them, and neither is one that was never heard of.
std::vector<const Member*> ControlThread::knownEntryHosts() const
{
    std::vector<const Member*> members;
    for (const auto& host : m_hosts.hosts) {
        if (const Member* member = host.isEntry ? m_gossip->fleet().find(MemberId(host.id.value())) : nullptr)
            members.push_back(member);
    }
    return members;
}

std::set<HostId> ControlThread::leavingUpstreamHosts() const
{
    std::set<HostId> leaving;
    for (const auto& host : m_hosts.hosts) {
        if (!host.isEntry && host.isLeaving)
            leaving.insert(host.id);
    }
    return leaving;
}

// The pools of the services in force, by service and data centre.
std::vector<PlacedPool> ControlThread::placedPools(const std::set<HostId>& leaving) const
{
    std::vector<PlacedPool> pools;
    for (const auto& service : m_configuration.sharedServices()) {
        std::map<DataCentreId, bool> dataCentres;
        for (const auto& endpoint : service->endpoints)
            dataCentres[endpoint.dataCentre] |= !leaving.contains(endpoint.host);
        for (const auto& [dataCentre, hasEndpoint] : dataCentres) {
            const PoolId pool { service->id, dataCentre };
            pools.push_back({ pool, m_gossip->fleet().homeOf(pool), hasEndpoint });
        }
    }
    return pools;
}

void ControlThread::setDraining()
{
    m_isDraining = true;
    m_gossip->fleet().announceLeaving();
    publish();
}

StatusReport ControlThread::statusReport() const
{
    StatusReport report;
    report.member = m_settings.member;
    report.incarnation = m_incarnation;
    report.dataCentre = m_settings.dataCentre;
    report.isReady = m_isReady;
    report.isDraining = m_isDraining;
    report.isWatcher = m_gossip->fleet().isWatcher();
    report.revision = m_configuration.highestRevision();
    report.hostListVersion = m_hosts.version;
    report.requestsRunning = m_hooks.requestsRunning();
    report.members = knownEntryHosts();
    report.homes = placedPools(leavingUpstreamHosts());
    return report;
}

} // namespace dogwoodhall
