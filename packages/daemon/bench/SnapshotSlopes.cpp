// Measures the cost of publishing on the control thread: the processor time and memory of a snapshot and its parts, by
// number of services and of members.
#include "GeneratedConfiguration.h"
#include "SettledFleet.h"
#include "SlopeFit.h"
#include "dogwoodhall/daemon/control/SnapshotBuilder.h"

#include <optional>

using namespace dogwoodhall;

namespace {

constexpr int designServices = 1200;
constexpr int designMembers = 3000;
constexpr int endpointsPerService = 23;
constexpr int upstreamHosts = 28'000;

struct Scenario {
    Scenario(int services, int members)
        : configuration(makeConfiguration(services, services * endpointsPerService))
        , fleet(makeFleet(members))
        , builder(settings, *configuration, hosts)
    {
        settings.member = fleet->self().id;
        settings.dataCentre = fleet->self().dataCentre;
        for (int n = 0; n < members; ++n) {
            const auto member = memberOf(n);
            hosts.hosts.push_back({ HostId(member.id.value()), member.dataCentre, true, member.peerAddress, false });
        }
        for (int n = 0; n < upstreamHosts; ++n)
            hosts.hosts.push_back(
                { HostId("host-" + std::to_string(n)), DataCentreId("dc-0"), false, {}, n % 100 == 0 });
    }

    Settings settings;
    HostList hosts;
    std::unique_ptr<ConfigurationInForce> configuration;
    std::unique_ptr<Fleet> fleet;
    SnapshotBuilder builder;
};

struct Fits {
    explicit Fits(const char* size)
        : routes("route table", "us", size)
        , routesMemory("memory of a route table", "bytes", size)
        , pools("homes of all pools", "us", size)
        , build("whole snapshot", "us", size)
        , replace("whole snapshot, and release of the one before", "us", size)
        , memory("memory of a snapshot", "bytes", size)
    {
    }

    void add(double size, const Scenario& scenario)
    {
        routes.add(size, microsecondsPerCall(5, [&](int) { RouteTable(scenario.configuration->sharedServices()); }));
        {
            const auto services = scenario.configuration->sharedServices();
            const double before = allocatedBytes();
            const RouteTable table(services);
            routesMemory.add(size, allocatedBytes() - before);
        }
        const auto leaving = scenario.builder.leavingUpstreamHosts();
        pools.add(size, microsecondsPerCall(3, [&](int) { scenario.builder.placedPools(*scenario.fleet, leaving); }));
        std::vector<Snapshot> kept;
        kept.reserve(9 * 3);
        build.add(size, microsecondsPerCall(3, [&](int) { kept.push_back(scenario.builder.build(*scenario.fleet)); }));
        kept.clear();
        replace.add(size, microsecondsPerCall(3, [&](int) { scenario.builder.build(*scenario.fleet); }));
        const double before = allocatedBytes();
        const auto snapshot = scenario.builder.build(*scenario.fleet);
        memory.add(size, allocatedBytes() - before);
    }

    void print() const
    {
        for (const auto* fit : { &routes, &routesMemory, &pools, &build, &replace, &memory })
            fit->print();
    }

    SlopeFit routes;
    SlopeFit routesMemory;
    SlopeFit pools;
    SlopeFit build;
    SlopeFit replace;
    SlopeFit memory;
};

} // namespace

int main()
{
    Fits byServices("services of 23 endpoints in 7 data centres, 3,000 members");
    for (const int services : { 300, 600, designServices, 2400 })
        byServices.add(services, Scenario(services, designMembers));
    byServices.print();
    Fits byMembers("members, 1,200 services");
    for (const int members : { 250, 1000, designMembers, 6000 })
        byMembers.add(members, Scenario(designServices, members));
    byMembers.print();
    return 0;
}
