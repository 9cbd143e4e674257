#include "dogwoodhall/daemon/control/SnapshotBuilder.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dogwoodhall {

SnapshotBuilder::SnapshotBuilder(
    const Settings& settings, const ConfigurationInForce& configuration, const HostList& hosts)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_hosts(hosts)
{
}

Snapshot SnapshotBuilder::build(const Fleet& fleet) const
{
    Snapshot snapshot;
    snapshot.revision = m_configuration.highestRevision();
    snapshot.routes = RouteTable(m_configuration.sharedServices());
    snapshot.topology = m_configuration.topology();
    snapshot.eligibility = PoolEligibility(snapshot.topology, m_configuration.evacuatedDataCentres());
    snapshot.memberIps.insert(m_settings.peerAddress.ip);
    for (const auto& host : m_hosts.hosts) {
        if (host.isEntry)
            snapshot.memberIps.insert(host.address.ip);
    }
    snapshot.hostListVersion = m_hosts.version;
    snapshot.leavingUpstreamHosts = leavingUpstreamHosts();
    addHomes(snapshot, fleet);
    return snapshot;
}

void SnapshotBuilder::addDirectory(
    Snapshot& snapshot, const Fleet& fleet, FleetCensus& census, const LapsedEndpoints& lapsed, TimePoint now) const
{
    snapshot.acceptsAnyPeer = true;
    snapshot.fleet.self = { m_settings.member, m_settings.dataCentre };
    const auto others = fleet.others();
    for (const auto* member : others) {
        if (member->state != MemberState::Gone)
            snapshot.fleet.others.push_back({ member->id, member->dataCentre });
    }
    census.observe(others, now);
    snapshot.fleet.largestSize = census.size();
    snapshot.fleet.stableSince = census.stableSince();
    const auto routing = m_configuration.routing();
    if (!routing)
        return;
    auto endpoints = m_configuration.registrations();
    const auto retained = lapsed.retained(now);
    endpoints.insert(endpoints.end(), retained.begin(), retained.end());
    snapshot.directory = Directory::Builder()
                             .ownDataCentre(m_settings.dataCentre)
                             .regions(m_settings.registry->regions)
                             .routing(routing)
                             .endpoints(std::move(endpoints))
                             .evacuated(m_configuration.evacuatedDataCentres())
                             .build();
}

void SnapshotBuilder::addHomes(Snapshot& snapshot, const Fleet& fleet) const
{
    for (const auto* member : knownEntryHosts(fleet)) {
        if (member->state != MemberState::Gone)
            snapshot.members[member->id] = { member->id, member->peerAddress, member->dataCentre };
    }
    for (const auto& [pool, home, hasEndpoint] : placedPools(fleet, snapshot.leavingUpstreamHosts)) {
        const Member* member = home ? fleet.find(*home) : nullptr;
        if (member)
            snapshot.remoteHomes.emplace(pool, PoolHome { member->id, member->peerAddress, member->dataCentre });
        else if (home)
            snapshot.ownPools.push_back(pool);
        const auto* service = snapshot.routes.service(pool.service);
        if (service && snapshot.eligibility.exclusionOf(*service, pool.dataCentre))
            continue;
        const bool hasHome = home.has_value() || pool.dataCentre == m_settings.dataCentre;
        snapshot.poolsOf[pool.service].push_back({ pool.dataCentre, hasHome && hasEndpoint });
    }
}

std::vector<ListedHost> SnapshotBuilder::listedEntryHosts() const
{
    std::vector<ListedHost> listed;
    for (const auto& host : m_hosts.hosts) {
        if (host.isEntry)
            listed.push_back({ MemberId(host.id.value()), host.dataCentre, host.address, host.isLeaving });
    }
    return listed;
}

std::vector<const Member*> SnapshotBuilder::knownEntryHosts(const Fleet& fleet) const
{
    std::vector<const Member*> members;
    for (const auto& host : m_hosts.hosts) {
        if (const Member* member = host.isEntry ? fleet.find(MemberId(host.id.value())) : nullptr)
            members.push_back(member);
    }
    return members;
}

std::set<HostId> SnapshotBuilder::leavingUpstreamHosts() const
{
    std::set<HostId> leaving;
    for (const auto& host : m_hosts.hosts) {
        if (!host.isEntry && host.isLeaving)
            leaving.insert(host.id);
    }
    return leaving;
}

std::vector<PlacedPool> SnapshotBuilder::placedPools(const Fleet& fleet, const std::set<HostId>& leaving) const
{
    std::vector<PlacedPool> pools;
    for (const auto& service : m_configuration.sharedServices()) {
        std::map<DataCentreId, bool> dataCentres;
        for (const auto& endpoint : service->endpoints)
            dataCentres[endpoint.dataCentre] |= !leaving.contains(endpoint.host);
        for (const auto& [dataCentre, hasEndpoint] : dataCentres) {
            const PoolId pool { service->id, dataCentre };
            pools.push_back({ pool, fleet.homeOf(pool), hasEndpoint });
        }
    }
    return pools;
}

} // namespace dogwoodhall
