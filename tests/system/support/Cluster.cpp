#include "Cluster.h"

#include <boost/json.hpp>
#include <fstream>
#include <map>
#include <stdexcept>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

const char* const ephemeralAddress = "127.0.0.1:0";
const char* const serviceName = "jingles"; // Of publishService().

// Short, so that tests of slow senders need not wait for the default of 10 s.
constexpr int slowSenderTimeoutMs = 2'000;
// Long enough that no request exceeds it on a busy machine; tests of deadlines set shorter ones per request.
constexpr int deadlineMs = 20'000;
// A download may wait for others to finish, which takes 20 s under a sanitizer.
constexpr int downloadDeadlineMs = 100'000;

json::object rule(const char* id, const char* prefix, const char* workClass, int deadline)
{
    return { { "id", id }, { "pathPrefix", prefix }, { "workClass", workClass }, { "deadlineMs", deadline } };
}

// Turns the endpoints of a record of schema version 1 into the groups of version 2.
json::array groupByDataCentre(const json::array& endpoints)
{
    std::map<std::string, json::array> byDataCentre;
    for (const auto& item : endpoints) {
        auto endpoint = item.as_object();
        const std::string dataCentre(endpoint.at("dataCentre").as_string());
        endpoint.erase("dataCentre");
        byDataCentre[dataCentre].push_back(std::move(endpoint));
    }
    json::array groups;
    for (auto& [dataCentre, members] : byDataCentre)
        groups.push_back(json::object { { "id", dataCentre }, { "endpoints", std::move(members) } });
    return groups;
}

std::string dataCentreName(std::size_t n) { return "dc" + std::to_string(n); }

} // namespace

Cluster::Cluster()
    : m_platform({ PLATFORM_BINARY, "--listen", toString(m_platformPort.address()) })
    , m_platformAddress(m_platform.readListening().at("address"))
    , m_platformAddressOfDaemons(m_platformAddress)
{
}

Cluster::~Cluster() = default;

void Cluster::startUpstream(const std::string& dataCentre, std::size_t slots)
{
    const std::string name = "u" + std::to_string(m_upstreams.size());
    ReservedPort port;
    Process process({ UPSTREAM_BINARY, "--listen", toString(port.address()), "--name", name, "--slots",
        std::to_string(slots), "--runs-file", (m_folder / "runs").string() });
    const auto address = process.readListening().at("address");
    m_upstreams.push_back({ name, dataCentre, std::move(port), std::move(process), address });
    declaredUpstreams.push_back(name);
}

DaemonProcess Cluster::launchDaemon(const std::string& name, const std::string& dataCentre)
{
    const auto settings = m_folder / (name + ".json");
    const auto& peerPort = m_peerPorts.emplace_back();
    json::object fields { { "schemaVersion", 1 }, { "member", name }, { "dataCentre", dataCentre },
        { "callerAddress", ephemeralAddress }, { "peerAddress", toString(peerPort.address()) },
        { "adminAddress", ephemeralAddress }, { "platformAddress", toString(m_platformAddressOfDaemons) },
        { "slowSenderTimeoutMs", slowSenderTimeoutMs } };
    std::optional<NetworkAddress> advertised;
    if (m_relay) {
        advertised = m_relay->listenFor(name);
        fields["advertisedPeerAddress"] = toString(*advertised);
    }
    for (const auto& [field, value] : m_settings)
        fields[field] = value;
    std::ofstream(settings) << fields;
    Process process({ DAEMON_BINARY, "--settings", settings.string() });
    const auto addresses = process.readListening();
    DaemonProcess daemon { name, dataCentre, std::move(process), addresses.at("caller"), addresses.at("admin"), {} };
    if (auto peer = addresses.find("peer"); peer != addresses.end())
        daemon.peer = peer->second;
    if (m_relay && daemon.peer) {
        m_relay->setTarget(name, *daemon.peer, daemon.process.id());
        daemon.peer = advertised;
    }
    return daemon;
}

DaemonProcess& Cluster::startDaemon(const std::string& dataCentre)
{
    m_daemons.push_back(launchDaemon("e" + std::to_string(m_daemons.size()), dataCentre));
    return m_daemons.back();
}

void Cluster::restartDaemon(std::size_t n)
{
    auto& daemon = m_daemons.at(n);
    daemon.process.kill();
    daemon = launchDaemon(daemon.name, daemon.dataCentre);
    publishHosts();
}

std::size_t Cluster::runs(const std::string& id) const
{
    std::ifstream file(m_folder / "runs");
    std::string line;
    std::size_t count = 0;
    while (std::getline(file, line))
        count += line == id;
    return count;
}

std::size_t Cluster::readNumber(std::size_t upstream, const std::string& target) const
{
    return std::stoull(call(m_upstreams.at(upstream).address, { "GET", target, {}, {}, {} }).body);
}

std::size_t Cluster::received(std::size_t upstream) const { return readNumber(upstream, "/control/received"); }

std::size_t Cluster::healthCalls(std::size_t upstream) const { return readNumber(upstream, "/control/health-calls"); }

std::size_t Cluster::inUse(std::size_t upstream) const { return readNumber(upstream, "/control/in-use"); }

void Cluster::setMode(std::size_t upstream, const std::string& query)
{
    call(m_upstreams.at(upstream).address, { "PUT", "/control/mode?" + query, {}, {}, {} });
}

Response Cluster::platformCall(const std::string& method, const std::string& target, const std::string& body)
{
    auto response = call(m_platformAddress, { method, target, {}, body, {} });
    if (response.status != 200)
        throw std::runtime_error("the platform stand-in did not accept " + target);
    return response;
}

std::uint64_t Cluster::publishService()
{
    json::array endpoints;
    for (const auto& upstream : m_upstreams) {
        if (std::find(declaredUpstreams.begin(), declaredUpstreams.end(), upstream.name) == declaredUpstreams.end())
            continue;
        endpoints.push_back(json::object { { "id", upstream.name }, { "host", upstream.name },
            { "dataCentre", upstream.dataCentre }, { "address", toString(upstream.address) }, { "slots", m_slots } });
    }
    json::object service { { "schemaVersion", 1 }, { "service", serviceName }, { "pathPrefix", "/" },
        { "rules",
            json::array { rule("downloads", "/download", "long", downloadDeadlineMs),
                rule("others", "/", "short", deadlineMs) } } };
    if (serviceFields.empty()) {
        service["endpoints"] = std::move(endpoints);
    } else {
        service["schemaVersion"] = 2;
        service["dataCentres"] = groupByDataCentre(endpoints);
        for (const auto& [field, value] : serviceFields)
            service[field] = value;
    }
    return publishRecord(serviceName, json::serialize(service));
}

std::string Cluster::recordOf(const std::string& service, std::size_t upstream, int schemaVersion) const
{
    const auto& process = m_upstreams.at(upstream);
    json::object endpoint { { "id", process.name }, { "host", process.name }, { "address", toString(process.address) },
        { "slots", m_slots } };
    json::object record { { "schemaVersion", schemaVersion }, { "service", service },
        { "pathPrefix", "/" + service + "/" + process.name } };
    if (schemaVersion == 1) {
        endpoint["dataCentre"] = process.dataCentre;
        record["endpoints"] = json::array { std::move(endpoint) };
    } else {
        json::object centre { { "id", process.dataCentre } };
        centre["endpoints"] = json::array { std::move(endpoint) };
        record["dataCentres"] = json::array { std::move(centre) };
    }
    return json::serialize(record);
}

std::uint64_t Cluster::publishRecord(const std::string& service, const std::string& value)
{
    return std::stoull(platformCall("PUT", "/control/records/services/" + service, value).body);
}

std::uint64_t Cluster::setEvacuated(const std::string& dataCentre, bool isEvacuated)
{
    const json::object record { { "dataCentre", dataCentre } };
    return std::stoull(platformCall(isEvacuated ? "PUT" : "DELETE", "/control/records/evacuations/" + dataCentre,
        isEvacuated ? json::serialize(record) : "")
                           .body);
}

void Cluster::publishHosts()
{
    json::array hosts;
    for (const auto& upstream : m_upstreams)
        hosts.push_back(
            json::object { { "id", upstream.name }, { "dataCentre", upstream.dataCentre }, { "role", "upstream" },
                { "address", toString(upstream.address) }, { "state", upstream.isLeaving ? "leaving" : "live" } });
    for (const auto& daemon : m_daemons) {
        if (daemon.peer)
            hosts.push_back(json::object { { "id", daemon.name }, { "dataCentre", daemon.dataCentre },
                { "role", "entry" }, { "address", toString(*daemon.peer) }, { "state", "live" } });
    }
    platformCall("PUT", "/control/hosts", json::serialize(json::object { { "hosts", std::move(hosts) } }));
}

void Cluster::restartPlatform(const std::string& state)
{
    m_platform.kill();
    m_platform = Process({ PLATFORM_BINARY, "--listen", toString(m_platformAddress) });
    m_platform.readListening();
    if (!state.empty())
        platformCall("PUT", "/control/state", state);
}

void Cluster::waitUntilReady(DaemonProcess& daemon)
{
    if (!eventually([&] { return call(daemon.admin, { "GET", "/ready", {}, {}, {} }).status == 200; }))
        throw std::runtime_error(daemon.name + " did not become ready");
}

std::string Cluster::Builder::topology() const
{
    json::array centres;
    for (std::size_t n = 0; n < m_dataCentres; ++n)
        centres.push_back(json::object {
            { "id", dataCentreName(n) }, { "region", n < m_otherRegionFrom ? "region" : "other-region" } });
    json::object topology { { "schemaVersion", 2 }, { "dataCentres", std::move(centres) } };
    if (m_linkBytesPerSecond)
        topology["linkBytesPerSecond"] = *m_linkBytesPerSecond;
    return json::serialize(topology);
}

Cluster Cluster::Builder::start() const
{
    Cluster cluster;
    cluster.m_slots = m_slots;
    cluster.m_settings = m_settings;
    if (m_hasRelay) {
        cluster.m_relay = std::make_unique<PeerRelay>();
        cluster.m_platformAddressOfDaemons = cluster.m_relay->listenFor("platform");
        cluster.m_relay->setTarget("platform", cluster.m_platformAddress, cluster.m_platform.id());
    }
    for (std::size_t n = 0; n < m_dataCentres; ++n) {
        for (std::size_t i = 0; i < m_upstreams; ++i)
            cluster.startUpstream(dataCentreName(n), m_slots);
    }
    cluster.platformCall("PUT", "/control/records/topology", topology());
    cluster.publishService();
    for (std::size_t n = 0; n < m_dataCentres * m_daemons; ++n)
        cluster.startDaemon(dataCentreName(n % m_dataCentres));
    cluster.publishHosts();
    for (auto& daemon : cluster.m_daemons)
        cluster.waitUntilReady(daemon);
    return cluster;
}

} // namespace dogwoodhall
