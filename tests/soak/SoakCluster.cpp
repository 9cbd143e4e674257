#include "SoakCluster.h"

#include "Base64.h"
#include "TestClient.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <future>
#include <stdexcept>

namespace dogwoodhall::soak {

namespace json = boost::json;

namespace {

constexpr int timeoutMs = 1500;
constexpr std::size_t firstPeerHost = 2; // Daemons' peer ports listen on 127.0.0.2 and above.

json::object route(const std::string& prefix, const char* kind)
{
    return { { "host", "shop" }, { "prefix", prefix }, { "kind", kind }, { "timeout_ms", timeoutMs },
        { "target_latency_ms", 300 }, { "priority", 1 }, { "service", "catalogue" }, { "max_attempts", 3 } };
}

std::unique_ptr<FaultProxy> makeProxy(boost::asio::io_context& io, const NetworkAddress& target)
{
    std::promise<std::unique_ptr<FaultProxy>> made;
    boost::asio::post(io, [&] { made.set_value(std::make_unique<FaultProxy>(io, target)); });
    return made.get_future().get();
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
        if (!eventually([&] { return call(daemon.admin, { "GET", "/ready", {}, {}, {} }).status == 200; }))
            throw std::runtime_error(daemon.name + " does not become ready");
    }
}

void SoakCluster::addDaemon()
{
    const auto number = m_daemons.size();
    const auto peerIp = [](std::size_t n) { return "127.0.0." + std::to_string(n + firstPeerHost); };
    Daemon daemon;
    daemon.name = "entry-" + std::to_string(number);
    daemon.settings = (m_folder / (daemon.name + ".json")).string();
    daemon.store = makeProxy(m_io, m_storeAddress);
    json::array seeds;
    for (std::size_t n = 0; n < 3; ++n)
        seeds.push_back(json::value(peerIp(n) + ":1"));
    const json::object settings { { "schemaVersion", 1 }, { "member", daemon.name },
        { "dataCentre", number % 2 == 0 ? "dc0" : "dc1" }, { "callerAddress", "127.0.0.1:0" },
        { "peerAddress", peerIp(number) + ":" + std::to_string(m_peerPort.address().port) },
        { "adminAddress", "127.0.0.1:0" }, { "platformAddress", toString(daemon.store->address()) },
        { "trafficThreads", 1 }, { "measuringCallsPerSecond", 400 }, { "measuringBytesPerSecond", 56000 },
        { "registry",
            json::object { { "regions", json::object { { "dc0", "r0" }, { "dc1", "r0" } } }, { "seeds", seeds },
                { "retrySlack", 20 }, { "drainGraceMs", 500 }, { "stopGraceMs", 6000 },
                { "healthCallsPerEndpoint", 60 } } } };
    std::ofstream(daemon.settings) << json::serialize(settings);
    m_daemons.push_back(std::move(daemon));
}

void SoakCluster::startDaemon(std::size_t n)
{
    auto& daemon = m_daemons.at(n);
    daemon.process
        = std::make_unique<Process>(std::vector<std::string> { DAEMON_BINARY, "--settings", daemon.settings });
    const auto addresses = daemon.process->readListening();
    daemon.caller = addresses.at("caller");
    daemon.admin = addresses.at("admin");
    ++daemon.lifetime;
}

void SoakCluster::startEndpoint(std::size_t n)
{
    auto& endpoint = m_endpoints.at(n);
    endpoint.id = "i-" + std::to_string(m_started.size());
    m_started.push_back(endpoint.id);
    endpoint.process = std::make_unique<Process>(std::vector<std::string> {
        REGISTERED_UPSTREAM_BINARY, "--id", endpoint.id, "--runs-file", (m_folder / endpoint.id).string() });
    endpoint.address = endpoint.process->readListening().at("address");
    // Connections through the former proxy may still be open.
    if (endpoint.proxy)
        m_retired.push_back(std::move(endpoint.proxy));
    endpoint.proxy = makeProxy(m_io, endpoint.address);
    setMode(n, "delay_ms=20");
    registerEndpoint(n, "ready");
}

void SoakCluster::registerEndpoint(std::size_t n, const std::string& state)
{
    const auto& endpoint = m_endpoints.at(n);
    if (state.empty()) {
        callStore("DELETE", "/control/items/servers/" + endpoint.id);
        return;
    }
    callStore("PUT", "/control/items/servers/" + endpoint.id,
        toBase64(json::serialize(json::object { { "address", toString(endpoint.proxy->address()) },
            { "info",
                json::object { { "service", "catalogue" }, { "version", "v1" }, { "zone", n % 2 == 0 ? "dc0" : "dc1" },
                    { "concurrency", 3 } } },
            { "status", json::object { { "state", state }, { "seq", 1 }, { "warmup_left_ms", 0 } } },
            { "born", 1700000000000 } })));
}

void SoakCluster::setMode(std::size_t n, const std::string& query)
{
    call(m_endpoints.at(n).address, { "PUT", "/control/mode?" + query, {}, {}, {} });
}

void SoakCluster::setStoreMode(const std::string& state) { callStore("PUT", "/control/mode?state=" + state); }

void SoakCluster::compactStore() { callStore("PUT", "/control/compact"); }

std::uint64_t SoakCluster::publishRouting()
{
    ++m_version;
    json::object routes { { "lookups", route("/lookups/", "idempotent") },
        { "orders", route("/orders/", "non_idempotent") } };
    for (std::uint64_t version = m_version > 1 ? m_version - 1 : 1; version <= m_version; ++version) {
        const auto name = "v" + std::to_string(version);
        routes[name] = route("/" + name + "/", "idempotent");
    }
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%08llx", static_cast<unsigned long long>(m_version));
    callStore("PUT", "/control/items/op/config",
        toBase64(json::serialize(json::object { { "version", digits }, { "routes", std::move(routes) },
            { "services",
                json::object {
                    { "catalogue", json::object { { "health_path", "/health" }, { "max_connections", 200 } } } } } })));
    return m_version;
}

std::vector<std::pair<std::string, std::string>> SoakCluster::runs() const
{
    std::vector<std::pair<std::string, std::string>> runs;
    for (const auto& endpoint : m_started) {
        std::ifstream file((m_folder / endpoint).string());
        for (std::string line; std::getline(file, line);)
            runs.emplace_back(line, endpoint);
    }
    return runs;
}

void SoakCluster::callStore(const std::string& method, const std::string& target, const std::string& body)
{
    call(m_storeAddress, { method, target, {}, body, {} });
}

} // namespace dogwoodhall::soak
