#include "dogwoodhall/daemon/control/ControlThread.h"

#include "dogwoodhall/budget/PingBudget.h"
#include "dogwoodhall/daemon/Clock.h"
#include "dogwoodhall/daemon/control/PlacesLog.h"
#include "dogwoodhall/daemon/control/RoutesLog.h"
#include "dogwoodhall/exchange/EventLoop.h"
#include "dogwoodhall/fleet/FirstReadDelay.h"
#include "dogwoodhall/fleet/RegistryFleetLimits.h"
#include "dogwoodhall/telemetry/Logging.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace dogwoodhall {

namespace {

// Ten times the average rate of changes at the design size. A joining member gets all records within minutes at that
// size, and at once in small fleets.
constexpr ByteCount recordBytesPerSecond { 256 * 1024 };
constexpr ByteCount recordBurst { 2 * 1024 * 1024 };
// After this time the load of a pool whose home has moved elsewhere is no longer sent to peers.
constexpr Duration ownLoadLifetime = std::chrono::seconds(1);
// A leaving endpoint must be out of use within 2 s, most of which is taken by the registry read and gossip.
constexpr PublicationLimits registryPublications { .maxUpstreamsDelay = std::chrono::milliseconds(200),
    .maxDelay = std::chrono::milliseconds(200) };
// If a change arrives from another data centre this long after the watcher's own last read, the watch is considered
// dead: a watch and gossip deliver the same change within 0.5 s of each other.
constexpr Duration watchStaleAfter = std::chrono::seconds(1);
// Parts of the lease's time after which a member confirms its records by a read. Each read has a cost; a confirmation
// reaches all members by gossip within a second.
constexpr Fraction firstReaderShare { 0.4 };
constexpr Fraction otherReaderShare { 0.85 };
// Without a reply for so long, a member does not rely on its peers for confirmations. Several gossip periods.
constexpr Duration peerSilence = std::chrono::seconds(2);
// Size of a pool's load in a gossip message, for ids of 15 characters.
constexpr std::uint64_t loadBytes = 64;

CensusLimits censusLimits(const Settings& settings)
{
    CensusLimits limits;
    limits.dataCentre = settings.dataCentre;
    if (!settings.registry)
        return limits;
    limits.dataCentres = std::max<std::size_t>(settings.registry->regions.size(), 1);
    const auto& seeds = settings.registry->seeds;
    limits.hasSeeds = std::any_of(
        seeds.begin(), seeds.end(), [&](const NetworkAddress& seed) { return seed.ip != settings.peerAddress.ip; });
    return limits;
}

Duration threadProcessorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

ControlThread::ControlThread(const Settings& settings, Incarnation incarnation, const PlatformAdapter& adapter,
    DaemonMetrics& metrics, Hooks hooks)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_configuration(adapter.parseRecord)
    , m_builder(m_settings, m_configuration, m_hosts)
    , m_census(censusLimits(m_settings), monotonicNow())
    , m_pacer(settings.registry ? registryPublications : PublicationLimits {})
    , m_source(adapter.makeRecordSource(m_io.get_executor()))
    , m_joinBarrier(
          monotonicNow(), m_source.isLinearizable ? PlatformConsistency::Linearizable : PlatformConsistency::MayBeStale)
    , m_lease(settings.registry ? settings.registry->maxConfigurationAge : std::nullopt)
    , m_lapsed(settings.registry ? settings.registry->lapseGrace : Duration::zero())
    , m_restoration(settings.registry ? settings.registry->lapseGrace : Duration::zero())
    , m_budget(splitMeasuringLimits(
          { settings.measuringCallsPerSecond, settings.measuringBytesPerSecond }, settings.trafficThreads)
                   .control)
    , m_recordBudget(recordBytesPerSecond, recordBurst)
    , m_platform(m_io, m_source,
          { [this] { return isWatcher(); },
              [this] { return isLargeFleet() ? m_source.electedWatcherPause : m_source.pauseAfterChanges; },
              [this] { return m_gossip->fleet().size() > 1; }, [this] { return m_configuration.highestRevision(); },
              [this] { return m_gossip->fleet().hostListPeriod(); }, [this] { return drawFirstReadDelay(); },
              [this] { return isLargeFleet() && m_gossip->fleet().isWatcher(); },
              [this](const RecordBatch& batch) { acceptBatch(batch); },
              [this](const HostList& hosts) { acceptHosts(hosts); }, [this] { recordsUnreachable(); },
              [this] { return needsConfirmation(); },
              [this](TimePoint at) {
                  m_lease.storeAnswered(storeEra(), monotonicNow());
                  confirmRecords(at);
              },
              [this](TimePoint at) {
                  m_lease.storeUnreachable(at);
                  renewLease();
              },
              [this] {
                  m_lease.storeAnswered(storeEra(), monotonicNow());
                  renewLease();
              } },
          metrics)
    , m_operators(m_io,
          { [this] { return m_isReady && !m_isDraining; }, [this] { return m_hooks.metricsText(); },
              [this] { return toJson(statusReport()); }, [this] { m_hooks.beginDrain(); },
              [this] { m_hooks.stopNow(); }, [&metrics](CallerCloseReason reason) { metrics.closed(reason).add(); },
              m_hooks.explain })
    , m_spans(m_io, settings.traceCollector, settings.member.value(), metrics.spansDropped)
    , m_prober(m_io,
          { [this] { return probeTargets(); },
              [this](ByteCount size) { return chargeBudget(MeasuringCategory::Health, size); },
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
    if (m_settings.registry)
        self.linkCapacityPerSecond = m_settings.registry->linkCapacityPerSecond;
    self.relaysRecords = m_settings.registry.has_value();
    Fleet::Hooks sources { [this] { return m_configuration.digest(); },
        [this](Revision since, ByteCount limit) { return m_configuration.recordsSince(since, limit); },
        [this](ByteCount limit) { return recordsForRepair(limit); },
        [this](std::size_t most) { return ownLoads(most); },
        [this] { return m_lease.isDue(firstReaderShare, monotonicNow()); } };
    GossipDriver::Hooks hooks { [this] { requestPublication(PublicationReason::Members); },
        [this](const OfferRecords& offer) { acceptFromPeer(offer); },
        [this](const std::vector<PoolLoadSummary>& loads) { m_hooks.observeLoads(loads); },
        [this](Duration gap) {
            m_metrics.wakeUps.add();
            m_joinBarrier.expire(monotonicNow());
            m_platform.readNow();
            DOGWOODHALL_LOG(fleet, warning) << "The process was paused for " << toSeconds(gap) << " s.";
            if (!updateReadiness())
                requestPublication(PublicationReason::Readiness);
        },
        [this](const GossipMessage& message, ByteCount size) { return chargeGossip(message, size); },
        [this](const GossipMessage& reply, TimePoint sentAt) { handlePeerAnswer(reply, sentAt); },
        [this] { return confirmedAge(); }, [this] { updateReadiness(); }, [this] { return m_restoration.firstEra(); } };
    m_gossip = std::make_unique<GossipDriver>(m_io, self, std::move(sources),
        m_settings.registry ? registryFleetLimits : FleetLimits {}, std::move(hooks), m_metrics);
    if (m_settings.registry)
        applySeeds();
    const auto executor = m_io.get_executor();
    spawnPermanent(executor, [this] { return m_gossip->run(); });
    spawnPermanent(executor, [this] { return m_platform.watchRecords(); });
    spawnPermanent(executor, [this] { return m_platform.watchHosts(); });
    spawnPermanent(executor, [this] { return m_spans.run(); });
    spawnPermanent(executor, [this] { return m_prober.run(); });
}

void ControlThread::run()
{
    runEventLoop(m_io, [this](std::string_view text) {
        m_metrics.exceptions.add();
        DOGWOODHALL_LOG(daemon, error) << "Unexpected exception in the control thread: " << text << ".";
    });
}

bool ControlThread::isWatcher() const { return !isLargeFleet() || m_gossip->fleet().isWatcher(); }

// In a large fleet not every member reads the records itself.
bool ControlThread::isLargeFleet() const { return m_gossip->fleet().size() > m_source.maxReaders; }

bool ControlThread::chargeBudget(MeasuringCategory category, ByteCount size)
{
    if (!m_budget.trySpend(category, size, monotonicNow())) {
        m_metrics.denied(category).add();
        return false;
    }
    m_metrics.sent(category).add();
    m_metrics.controlBytes.add(size.count());
    return true;
}

// Records are charged to a token bucket of their own, because a member that joins or was partitioned needs more of them
// at once than the measuring budget allows.
bool ControlThread::chargeGossip(const GossipMessage& message, ByteCount size)
{
    ByteCount records;
    for (const auto& record : message.records)
        records += estimatedSize(record);
    records = std::min(records, size);
    if (records > ByteCount(0) && !m_recordBudget.tryTake(records, monotonicNow())) {
        m_metrics.denied(MeasuringCategory::Configuration).add();
        return false;
    }
    return chargeBudget(MeasuringCategory::Membership, size - records);
}

void ControlThread::setOwnLoads(const std::vector<PoolLoadSummary>& loads)
{
    const TimePoint now = monotonicNow();
    for (const auto& load : loads)
        m_ownLoads[load.pool] = { load, now };
}

std::vector<Record> ControlThread::recordsForRepair(ByteCount limit)
{
    auto records = m_configuration.inForceOfRejectedKeys(m_lastRejectedKey, limit);
    if (!records.empty())
        m_lastRejectedKey = records.back().key;
    const auto evacuations = m_configuration.evacuationRecords();
    records.insert(records.end(), evacuations.begin(), evacuations.end());
    return records;
}

// Returns a few pools per message, in rotation; none while the budget is low, so that the rest of the message can be
// sent.
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

// Uses the last published homes, because recomputing them for each round would cost as much as a publication.
std::vector<ProbeTarget> ControlThread::probeTargets() const
{
    std::vector<ProbeTarget> targets;
    if (!m_published)
        return targets;
    for (const auto& pool : m_published->ownPools) {
        for (const auto& endpoint : m_published->routes.service(pool.service)->endpoints) {
            if (endpoint.dataCentre == pool.dataCentre)
                targets.push_back({ pool, endpoint.id, endpoint.address });
        }
    }
    return targets;
}

tl::expected<std::optional<std::string>, std::string> ControlThread::answerGossip(std::string_view request)
{
    return m_gossip->answer(request);
}

void ControlThread::recordsUnreachable()
{
    m_lapsed.registryLost();
    if (m_settings.registry)
        m_gossip->perform(m_gossip->fleet().setCanReadPlatform(false, monotonicNow()));
}

// The peer's records included every change that the store had acknowledged `confirmedAge` before it replied, which it
// did after the request was sent. This member now holds what the peer held.
void ControlThread::handlePeerAnswer(const GossipMessage& reply, TimePoint sentAt)
{
    m_lastPeerAnswer = sentAt;
    m_joinBarrier.peerAnswered(reply.sender.id, reply.configuration.highest, reply.sender.isReady, sentAt);
    updateReadiness();
    const Revision held = m_configuration.highestRevision();
    const Revision theirs = reply.configuration.highest;
    // A peer that has not seen this member's era may be confirmed in what the store has lost.
    const bool holdsAll = held >= theirs && held.era() == theirs.era() && m_transfer.isComplete(held);
    if (reply.confirmedAge && holdsAll)
        m_lease.confirm(sentAt - *reply.confirmedAge, reply.sender.id);
    // A member that has just started need not wait for its own read to fail.
    if (!reply.sender.canReadPlatform && !m_lease.isConfirmed())
        m_lease.storeUnreachable(sentAt);
    renewLease();
}

void ControlThread::confirmRecords(TimePoint at)
{
    m_lease.confirm(at);
    renewLease();
}

bool ControlThread::needsConfirmation() const
{
    const TimePoint now = monotonicNow();
    // Nobody else would tell a member that the store refuses when the store answers again.
    const bool arePeersSilent = now - m_lastPeerAnswer > peerSilence;
    if (arePeersSilent && m_lease.isDue(otherReaderShare, now))
        return true;
    // Ranking the members takes a pass over all of them.
    return m_lease.needsConfirmation(firstReaderShare, now)
        && (m_lease.needsConfirmation(otherReaderShare, now) || m_gossip->fleet().isFirstReader());
}

// A term must not reach the traffic threads before the records that it is about.
void ControlThread::renewLease()
{
    m_lease.setMayDeny(mayDeny());
    if (m_pacer.hasPending() || m_lease.term() == m_publishedTerm)
        return;
    m_publishedTerm = m_lease.term();
    m_hooks.renewLease(m_publishedTerm);
}

// As far as this member can know.
bool ControlThread::mayDeny() const
{
    if (!m_configuration.isRoutingNewest() || !m_settings.registry)
        return m_configuration.isRoutingNewest();
    const auto& fleet = m_gossip->fleet();
    const std::size_t running = fleet.others().size();
    return m_joinBarrier.mayDeny(fleet.size() > 1 ? std::max<std::size_t>(running, 1) : 0, monotonicNow());
}

Era ControlThread::storeEra() const { return m_source.era ? m_source.era() : Era(); }

std::optional<Duration> ControlThread::confirmedAge() const
{
    const auto confirmedAt = m_lease.term().confirmedAt;
    return confirmedAt ? std::optional(monotonicNow() - *confirmedAt) : std::nullopt;
}

void ControlThread::acceptBatch(RecordBatch batch)
{
    m_lastRead = monotonicNow();
    m_lease.storeAnswered(storeEra(), m_lastRead);
    m_lapsed.registryReturned(m_lastRead);
    if (m_settings.registry)
        m_gossip->perform(m_gossip->fleet().setCanReadPlatform(true, m_lastRead));
    observeEra(batch.highest.era());
    if (batch.isComplete)
        reduceToChanges(batch);
    trackLapsedEndpoints(batch.records);
    // A registry's revision also counts changes that are not records, so no record may ever reach it.
    if (m_source.isLinearizable)
        m_joinBarrier.platformAnswered(Revision());
    else
        m_joinBarrier.platformAnswered(batch.highest);
    // In a small fleet every member reads the records; one of each data centre forwards them to those whose watch
    // fails.
    if (isLargeFleet() || m_gossip->fleet().isWatcher())
        acceptAndForward(batch.records);
    else
        acceptRecords(batch.records);
    if (batch.isComplete && m_source.isLinearizable)
        m_configuration.completeReadOffered(batch.highest);
}

// In a new era the deletions are left to a read after the writers have had the time to write again.
void ControlThread::reduceToChanges(RecordBatch& batch)
{
    std::vector<Record> deletions;
    if (m_restoration.provesDeletions(monotonicNow()))
        deletions = m_configuration.deletionsIn(batch);
    std::erase_if(batch.records, [&](const Record& it) { return m_configuration.holdsSameChange(it); });
    batch.records.insert(batch.records.end(), deletions.begin(), deletions.end());
}

void ControlThread::observeEra(Era era)
{
    if (!m_restoration.observe(era, monotonicNow()))
        return;
    DOGWOODHALL_LOG(config, warning) << "The store has come back from an older copy; its era is " << era << ".";
    m_restorationTimer.expires_at(toSteadyClock(*m_restoration.settlesAt()));
    m_restorationTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && isWatcher())
            m_platform.readAll();
    });
}

// Changes from another data centre are forwarded like changes from the registry, because the registry may refuse all
// members of this data centre.
void ControlThread::acceptFromPeer(const OfferRecords& offer)
{
    const auto& records = offer.records;
    if (offer.senderHighest && !records.empty())
        m_transfer.received(records.back().revision, *offer.senderHighest);
    const auto* member = m_gossip->fleet().find(offer.from);
    if (!member || member->dataCentre == m_settings.dataCentre) {
        acceptRecords(records);
        return;
    }
    // A watch on a dead connection delivers nothing until it times out.
    const bool isWatchLate = m_settings.registry && isWatcher() && monotonicNow() - m_lastRead > watchStaleAfter;
    if (acceptAndForward(records) && isWatchLate)
        m_platform.readNow();
}

bool ControlThread::acceptAndForward(const std::vector<Record>& records)
{
    const Revision before = m_configuration.highestRevision();
    acceptRecords(records);
    const bool hasNewRecords = before > Revision() && m_configuration.highestRevision() > before;
    if (hasNewRecords && m_settings.registry)
        m_gossip->perform(m_gossip->fleet().pushRecords(before, monotonicNow()));
    return hasNewRecords;
}

void ControlThread::trackLapsedEndpoints(const std::vector<Record>& records)
{
    const TimePoint now = monotonicNow();
    for (const auto& record : records) {
        const auto known = m_configuration.registration(record.key);
        if (!known)
            continue;
        if (!record.deleted)
            m_lapsed.registered(known->id);
        else if (m_lapsed.removed(known, now))
            DOGWOODHALL_LOG(config, info) << "Endpoint " << known->id << " lapsed while the registry was unreachable.";
    }
    armLapseTimer();
}

void ControlThread::armLapseTimer()
{
    const auto next = m_lapsed.nextChange();
    if (!next)
        return;
    m_lapseTimer.expires_at(toSteadyClock(*next));
    m_lapseTimer.async_wait([this](const boost::system::error_code& ec) {
        if (ec)
            return;
        m_lapsed.removeExpired(monotonicNow());
        requestPublication(PublicationReason::LeavingUpstreams);
        armLapseTimer();
    });
}

void ControlThread::applySeeds()
{
    std::vector<NetworkAddress> seeds;
    for (const auto& seed : m_settings.registry->seeds)
        seeds.push_back({ seed.ip, m_settings.peerAddress.port });
    m_gossip->fleet().setRegions(m_settings.registry->regions);
    m_gossip->perform(m_gossip->fleet().applySeeds(seeds, monotonicNow()));
}

void ControlThread::acceptRecords(const std::vector<Record>& records)
{
    bool hasChanged = false;
    for (const auto& record : records) {
        const auto outcome = m_configuration.offer(record);
        hasChanged = hasChanged || outcome.result == OfferResult::Accepted;
        if (outcome.result == OfferResult::Superseded)
            DOGWOODHALL_LOG(config, info) << "Ignored an older copy of " << outcome.reason << ".";
        if (outcome.result == OfferResult::Rejected) {
            m_metrics.recordsRejected.add();
            DOGWOODHALL_LOG(config, error) << "Rejected record: " << outcome.reason << ".";
        }
    }
    observeEra(m_configuration.highestRevision().era());
    if (hasChanged) {
        DOGWOODHALL_LOG(config, info) << "Revision " << m_configuration.highestRevision() << " is in force.";
        std::map<DataCentreId, RegionId> regions;
        for (const auto& dataCentre : m_configuration.topology().dataCentres)
            regions.emplace(dataCentre.id, dataCentre.region);
        if (!m_settings.registry)
            m_gossip->fleet().setRegions(std::move(regions));
    }
    m_metrics.configurationRevision.set(m_configuration.highestRevision().value());
    const bool isPublished = updateReadiness();
    if (hasChanged && !isPublished)
        requestPublication(PublicationReason::Records);
    renewLease();
}

void ControlThread::acceptHosts(const HostList& hosts)
{
    if (hosts.version <= m_hosts.version)
        return;
    const auto leaving = m_builder.leavingUpstreamHosts();
    m_hosts = hosts;
    const auto entryHosts = m_builder.listedEntryHosts();
    const bool listsSelf = std::any_of(
        entryHosts.begin(), entryHosts.end(), [&](const ListedHost& host) { return host.id == m_settings.member; });
    // A list without any entry host, not even this one, predates the fleet and does not mean that there are no peers.
    if (!entryHosts.empty())
        m_joinBarrier.setListedPeers(entryHosts.size() - (listsSelf ? 1 : 0));
    const auto published = m_published;
    m_gossip->perform(m_gossip->fleet().applyHostList(entryHosts, monotonicNow()));
    if (m_published == published) {
        const bool isSame = leaving == m_builder.leavingUpstreamHosts();
        requestPublication(isSame ? PublicationReason::Members : PublicationReason::LeavingUpstreams);
    }
}

// Returns true if readiness has changed; a publication has then been requested.
bool ControlThread::updateReadiness()
{
    const Revision held = m_configuration.highestRevision();
    const bool hasServices = !m_configuration.sharedServices().empty() || m_configuration.routing();
    const bool isReady = hasServices && m_joinBarrier.isReady(held, monotonicNow());
    if (isReady == m_isReady)
        return false;
    m_isReady = isReady;
    m_gossip->fleet().setReady(isReady);
    DOGWOODHALL_LOG(daemon, info) << (isReady ? "Ready." : "Not ready.");
    requestPublication(PublicationReason::Readiness);
    return true;
}

Duration ControlThread::drawFirstReadDelay()
{
    // Without a host list the fleet size is unknown. With a registry no delay is needed: it can answer all members of a
    // fleet of a few hundred hosts within the spread of their start times.
    if (m_settings.registry)
        return Duration::zero();
    if (m_hosts.version == 0)
        return dogwoodhall::drawFirstReadDelay(std::nullopt, m_random);
    return dogwoodhall::drawFirstReadDelay(m_builder.listedEntryHosts().size(), m_random);
}

void ControlThread::requestPublication(PublicationReason reason)
{
    perform(m_pacer.changeOccurred(reason, monotonicNow()));
}

void ControlThread::perform(const std::optional<PublicationAction>& action)
{
    if (!action)
        return;
    if (const auto* timer = std::get_if<ArmPublicationTimer>(&*action)) {
        m_publicationTimer.expires_at(toSteadyClock(timer->at));
        m_publicationTimer.async_wait([this](const boost::system::error_code& ec) {
            if (!ec)
                perform(m_pacer.timerDue(monotonicNow()));
        });
        return;
    }
    publish();
}

void ControlThread::publish()
{
    const auto published = m_published;
    // An event that was queued during a pause of the process must not publish the readiness from before the pause.
    m_gossip->checkPause();
    if (m_published != published)
        return; // Handling the pause has already published.
    const Duration start = threadProcessorTime();
    auto snapshot = std::make_shared<Snapshot>(m_builder.build(m_gossip->fleet()));
    if (m_settings.registry)
        m_builder.addDirectory(*snapshot, m_gossip->fleet(), m_census, m_lapsed, monotonicNow());
    const auto& evacuated = snapshot->eligibility.evacuated();
    logEvacuations(m_published ? m_published->eligibility.evacuated() : std::set<DataCentreId> {}, evacuated);
    m_metrics.evacuatedDataCentres.set(evacuated.size());
    if (const auto& directory = snapshot->directory)
        logRoutes(m_published ? m_published->directory.get() : nullptr, *directory);
    // Before it is ready, a member may hold a service without the topology.
    if (m_isReady)
        m_allowedRegionsLog.update(m_configuration.sharedServices(), snapshot->eligibility);
    snapshot->isReady = m_isReady;
    snapshot->isDraining = m_isDraining;
    m_published = std::move(snapshot);
    m_hooks.publish(m_published);
    m_lease.setMayDeny(mayDeny());
    m_publishedTerm = m_lease.term();
    m_hooks.renewLease(m_publishedTerm);
    const Duration cost = threadProcessorTime() - start;
    m_metrics.publications.add();
    m_metrics.publicationMicroseconds.add(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(cost).count()));
    perform(m_pacer.published(cost, monotonicNow()));
}

void ControlThread::logRoutes(const Directory* before, const Directory& after)
{
    logRoutesRegions(before, after, m_settings.registry->regions);
    if (auto line = describeRouteChanges(before, after))
        m_hooks.log(*std::move(line));
}

void ControlThread::setDraining()
{
    m_isDraining = true;
    m_gossip->fleet().announceLeaving();
    requestPublication(PublicationReason::Readiness);
}

StatusReport ControlThread::statusReport() const
{
    StatusReport report;
    report.member = m_settings.member;
    report.incarnation = m_gossip->fleet().self().incarnation;
    report.dataCentre = m_settings.dataCentre;
    report.isReady = m_isReady;
    report.isDraining = m_isDraining;
    report.isWatcher = isWatcher();
    const bool usePublished = m_pacer.hasPending() && m_published;
    report.revision = usePublished ? m_published->revision : m_configuration.highestRevision();
    report.storeEra = storeEra();
    report.hostListVersion = usePublished ? m_published->hostListVersion : m_hosts.version;
    report.requestsRunning = m_hooks.requestsRunning();
    report.members = m_builder.knownEntryHosts(m_gossip->fleet());
    if (m_published)
        report.homes = homesIn(*m_published, m_settings.member);
    return report;
}

} // namespace dogwoodhall
