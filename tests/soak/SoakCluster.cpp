#include "SoakCluster.h"

#include "Base64.h"
#include "TestClient.h"

#include "dogwoodhall/daemon/Clock.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <future>
#include <stdexcept>

namespace dogwoodhall::soak {

namespace json = boost::json;

namespace {

constexpr int requestTimeoutMs = 1500;
constexpr double coldRequestsPerSecond = 4; // With overage and slack of the settings, the bound is 14.
constexpr std::size_t firstPeerLastOctet = 2; // Peer addresses of the daemons: 127.0.0.2 and above.

json::object makeRoute(const std::string& prefix, const char* kind)
{
    return { { "host", "shop" }, { "prefix", prefix }, { "kind", kind }, { "timeout_ms", requestTimeoutMs },
        { "target_latency_ms", 300 }, { "priority", 1 }, { "service", "catalogue" }, { "max_attempts", 3 } };
}

std::unique_ptr<FaultProxy> makeProxy(boost::asio::io_context& io, const NetworkAddress& target)
{
    std::promise<std::unique_ptr<FaultProxy>> created;
    boost::asio::post(io, [&] { created.set_value(std::make_unique<FaultProxy>(io, target)); });
    return created.get_future().get();
}

} // namespace

SoakCluster::SoakCluster(boost::asio::io_context& io, std::size_t daemons, std::size_t endpoints)
    : m_io(io)
    , m_store({ REGISTRY_BINARY })
    , m_storeAddress(m_store.readListening().at("address"))
{
    m_endpoints.resize(endpoints);
    for (std::size_t n = 0; n < endpoints; ++n)
        startEndpoint(n);
    publishRouting();
    publishRouting();
    for (std::size_t n = 0; n < daemons; ++n)
        addDaemon();
    for (std::size_t n = 0; n < daemons; ++n)
        startDaemon(n);
    for (auto& daemon : m_daemons) {
        if (!eventually([&] { return call(daemon.adminAddress, { "GET", "/ready", {}, {}, {} }).status == 200; }))
            throw std::runtime_error(daemon.name + " did not become ready in time");
    }
}

void SoakCluster::addDaemon()
{
    const auto number = m_daemons.size();
    const auto peerIp = [](std::size_t n) { return "127.0.0." + std::to_string(n + firstPeerLastOctet); };
    Daemon daemon;
    daemon.name = "entry-" + std::to_string(number);
    daemon.settingsPath = (m_folder / (daemon.name + ".json")).string();
    daemon.storeProxy = makeProxy(m_io, m_storeAddress);
    json::array seeds;
    for (std::size_t n = 0; n < 3; ++n)
        seeds.push_back(json::value(peerIp(n) + ":1"));
    daemon.settings = { { "schemaVersion", 1 }, { "member", daemon.name }, { "dataCentre", dataCentreOf(number) },
        { "peerAddress", peerIp(number) + ":" + std::to_string(m_peerPort.address().port) },
        { "adminAddress", "127.0.0.1:0" }, { "platformAddress", toString(daemon.storeProxy->address()) },
        { "trafficThreads", 1 }, { "measuringCallsPerSecond", 400 }, { "measuringBytesPerSecond", 56000 },
        { "registry",
            json::object { { "regions", json::object { { "dc0", "r0" }, { "dc1", "r1" } } }, { "seeds", seeds },
                { "retrySlack", 20 }, { "maxConfigurationAgeMs", 2000 }, { "drainGraceMs", 500 },
                { "stopGraceMs", 6000 }, { "healthCallsPerEndpoint", 60 }, { "warmUpOverage", 1.5 },
                { "warmUpSlack", 8 } } } };
    m_daemons.push_back(std::move(daemon));
}

void SoakCluster::startDaemon(std::size_t n)
{
    auto& daemon = m_daemons.at(n);
    daemon.settings["callerAddress"] = toString(daemon.callerPorts.emplace_back().address());
    std::ofstream(daemon.settingsPath) << json::serialize(daemon.settings);
    daemon.process
        = std::make_unique<Process>(std::vector<std::string> { DAEMON_BINARY, "--settings", daemon.settingsPath });
    const auto addresses = daemon.process->readListening();
    daemon.callerAddress = addresses.at("caller");
    daemon.adminAddress = addresses.at("admin");
    ++daemon.incarnation;
}

void SoakCluster::startEndpoint(std::size_t n)
{
    auto& endpoint = m_endpoints.at(n);
    endpoint.id = "i-" + std::to_string(m_endpointIds.size());
    m_endpointIds.push_back(endpoint.id);
    m_endpointDataCentres[endpoint.id] = dataCentreOf(n);
    endpoint.process = std::make_unique<Process>(std::vector<std::string> {
        REGISTERED_UPSTREAM_BINARY, "--id", endpoint.id, "--runs-file", (m_folder / endpoint.id).string() });
    endpoint.address = endpoint.process->readListening().at("address");
    // Connections through the previous proxy may still be open.
    if (endpoint.proxy)
        m_retiredProxies.push_back(std::move(endpoint.proxy));
    endpoint.proxy = makeProxy(m_io, endpoint.address);
    setMode(n, "delay_ms=20");
    registerEndpoint(n, "ready");
}

void SoakCluster::registerEndpoint(std::size_t n, const std::string& state)
{
    const auto& endpoint = m_endpoints.at(n);
    auto& registration = m_registrations[endpoint.id];
    registration = { endpoint.proxy->address(), dataCentreOf(n), state, registration.sequence };
    writeRegistration(endpoint.id);
}

void SoakCluster::writeRegistration(const std::string& id)
{
    auto& [address, dataCentre, state, sequence] = m_registrations.at(id);
    if (state.empty()) {
        callStore("DELETE", "/control/items/servers/" + id);
        return;
    }
    callStore("PUT", "/control/items/servers/" + id,
        toBase64(json::serialize(json::object { { "address", toString(address) },
            { "info",
                json::object {
                    { "service", "catalogue" }, { "version", "v1" }, { "zone", dataCentre }, { "concurrency", 3 } } },
            { "status", json::object { { "state", state }, { "seq", ++sequence }, { "warmup_left_ms", 0 } } },
            { "born", 1700000000000 } })));
}

void SoakCluster::setMode(std::size_t n, const std::string& query)
{
    call(m_endpoints.at(n).address, { "PUT", "/control/mode?" + query, {}, {}, {} });
}

std::size_t SoakCluster::busiestColdSecond(std::size_t n) const
{
    return std::stoull(call(m_endpoints.at(n).address, { "GET", "/control/busiest-cold-second", {}, {}, {} }).body);
}

void SoakCluster::setEvacuated(const std::string& dataCentre, bool isEvacuated)
{
    m_evacuations[dataCentre] = isEvacuated;
    writeEvacuation(dataCentre);
}

void SoakCluster::writeEvacuation(const std::string& dataCentre)
{
    const bool isEvacuated = m_evacuations.at(dataCentre);
    callStore(
        isEvacuated ? "PUT" : "DELETE", "/control/items/op/evacuate/" + dataCentre, isEvacuated ? toBase64("1") : "");
}

void SoakCluster::setStoreMode(const std::string& state) { callStore("PUT", "/control/mode?state=" + state); }

void SoakCluster::setStaleReads(bool isStale)
{
    callStore("PUT", isStale ? "/control/serializable?stale=1" : "/control/serializable?stale=0");
}

void SoakCluster::compactStore() { callStore("PUT", "/control/compact"); }

void SoakCluster::copyStore() { callStore("PUT", "/control/copy"); }

void SoakCluster::restoreStore() { callStore("PUT", "/control/restore"); }

void SoakCluster::writeOtherKeys(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
        callStore("PUT", "/control/items/other/" + std::to_string(n), toBase64("x"));
}

void SoakCluster::writeAllAgain()
{
    for (const auto& [id, registration] : m_registrations)
        writeRegistration(id);
    for (const auto& [dataCentre, isEvacuated] : m_evacuations)
        writeEvacuation(dataCentre);
    writeRouting();
}

std::uint64_t SoakCluster::publishRouting()
{
    ++m_routingVersion;
    writeRouting();
    return m_routingVersion;
}

void SoakCluster::writeRouting()
{
    json::object routes { { "lookups", makeRoute("/lookups/", "idempotent") },
        { "orders", makeRoute("/orders/", "non_idempotent") } };
    auto restricted = makeRoute("/restricted/", "idempotent");
    restricted["allowed_regions"] = json::array { "r0" };
    routes["restricted"] = std::move(restricted);
    for (std::uint64_t version = m_routingVersion > 1 ? m_routingVersion - 1 : 1; version <= m_routingVersion;
         ++version) {
        const auto name = "v" + std::to_string(version);
        routes[name] = makeRoute("/" + name + "/", "idempotent");
    }
    char versionText[32];
    std::snprintf(versionText, sizeof(versionText), "%08llx", static_cast<unsigned long long>(m_routingVersion));
    callStore("PUT", "/control/items/op/config",
        toBase64(json::serialize(json::object { { "version", versionText }, { "routes", std::move(routes) },
            { "services",
                json::object { { "catalogue",
                    json::object { { "health_path", "/health" }, { "max_connections", 200 },
                        { "cold_per_s", coldRequestsPerSecond } } } } } })));
}

std::vector<std::pair<std::string, std::string>> SoakCluster::executions() const
{
    std::vector<std::pair<std::string, std::string>> executions;
    for (const auto& endpoint : m_endpointIds) {
        std::ifstream file((m_folder / endpoint).string());
        for (std::string line; std::getline(file, line);)
            executions.emplace_back(line, endpoint);
    }
    return executions;
}

std::vector<std::pair<std::string, TimePoint>> SoakCluster::arrivals() const
{
    std::vector<std::pair<std::string, TimePoint>> arrivals;
    // The endpoints write times of the steady clock.
    const auto steadyNow = std::chrono::steady_clock::now().time_since_epoch();
    const Duration offset = monotonicNow().sinceOrigin() - std::chrono::duration_cast<Duration>(steadyNow);
    for (const auto& endpoint : m_endpointIds) {
        std::ifstream file((m_folder / (endpoint + ".arrivals")).string());
        std::string id;
        for (std::int64_t ms = 0; file >> id >> ms;)
            arrivals.emplace_back(id, TimePoint(std::chrono::milliseconds(ms) + offset));
    }
    return arrivals;
}

void SoakCluster::callStore(const std::string& method, const std::string& target, const std::string& body)
{
    call(m_storeAddress, { method, target, {}, body, {} });
}

} // namespace dogwoodhall::soak
