#include "RegistryCluster.h"

#include "Base64.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <stdexcept>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

// A member's share of the retry slack grows during its first window; the constructor waits for two windows.
constexpr unsigned retryWindowMs = 100;
constexpr unsigned headerTimeoutMs = 10'000;
constexpr unsigned idleTimeoutMs = 15'000;

constexpr std::size_t seedCount = 3;

std::string peerIp(std::size_t daemon) { return "127.0.0." + std::to_string(daemon + 2); }

json::object route(
    const std::string& prefix, const char* kind, unsigned timeoutMs, const std::vector<std::string>& allowedRegions)
{
    return { { "host", "shop" }, { "prefix", prefix }, { "kind", kind }, { "timeout_ms", timeoutMs },
        { "target_latency_ms", 300 }, { "priority", 1 }, { "service", "catalogue" }, { "max_attempts", 2 },
        { "allowed_regions", json::array(allowedRegions.begin(), allowedRegions.end()) } };
}

std::string endpointEntry(const NetworkAddress& address, const std::string& state, const std::string& dataCentre,
    unsigned sequence, unsigned warmUpLeftMs = 0)
{
    return json::serialize(json::object { { "address", toString(address) },
        { "info",
            json::object {
                { "service", "catalogue" }, { "version", "v1" }, { "zone", dataCentre }, { "concurrency", 3 } } },
        { "status", json::object { { "state", state }, { "seq", sequence }, { "warmup_left_ms", warmUpLeftMs } } },
        { "born", 1700000000000 } });
}

} // namespace

RegistryCluster::Options RegistryCluster::Options::withMaxConfigurationAge(std::chrono::milliseconds age)
{
    Options options;
    options.maxConfigurationAgeMs = static_cast<unsigned>(age.count());
    return options;
}

RegistryCluster::RegistryCluster(std::size_t endpoints, std::size_t daemons)
    : RegistryCluster(endpoints, daemons, Options {})
{
}

RegistryCluster::RegistryCluster(std::size_t endpoints, std::size_t daemons, Options options)
    : m_options(options)
    , m_callerBounds(options.callerBounds)
    , m_registry({ REGISTRY_BINARY })
    , m_registryAddress(m_registry.readListening().at("address"))
{
    for (std::size_t n = 0; n < endpoints; ++n)
        startEndpoint();
    publishRouting(1);
    for (std::size_t n = 0; n < daemons; ++n)
        startDaemon();
    for (auto& daemon : m_daemons) {
        const auto isReady = [&] { return call(daemon.admin, { "GET", "/ready", {}, {}, {} }).status == 200; };
        if (!eventually(isReady))
            throw std::runtime_error("a daemon did not become ready");
    }
    for (std::size_t n = 0; n < m_daemons.size(); ++n)
        request("GET", "/lookups/1", "first-window", n);
    ::usleep(2 * retryWindowMs * 1000);
}

void RegistryCluster::startEndpoint()
{
    const std::string id = "i-" + std::to_string(m_endpoints.size());
    Process process({ REGISTERED_UPSTREAM_BINARY, "--id", id, "--runs-file", (m_folder / "runs").string() });
    const auto address = process.readListening().at("address");
    m_endpoints.push_back({ id, std::move(process), address });
    publishEndpoint(m_endpoints.size() - 1, "ready");
}

void RegistryCluster::startDaemon() { m_daemons.push_back(makeDaemon(m_daemons.size())); }

void RegistryCluster::restartDaemon(std::size_t daemon)
{
    m_daemons.at(daemon).process.kill();
    m_daemons.at(daemon) = makeDaemon(daemon);
}

RegistryCluster::Daemon RegistryCluster::makeDaemon(std::size_t number) const
{
    const std::string name = "entry-" + std::to_string(number);
    const auto file = m_folder / (name + ".json");
    json::object settings { { "schemaVersion", 1 }, { "member", name }, { "dataCentre", "dc0" },
        { "callerAddress", "127.0.0.1:0" }, { "peerAddress", "127.0.0.1:0" }, { "adminAddress", "127.0.0.1:0" },
        { "platformAddress", toString(m_registryAddress) }, { "trafficThreads", 1 },
        { "registry",
            json::object { { "regions", json::object { { "dc0", "r0" }, { "dc1", "r0" }, { "dc2", "r1" } } },
                { "retrySlack", 1000 }, { "retryWindowMs", retryWindowMs }, { "drainGraceMs", m_options.drainGraceMs },
                { "stopGraceMs", m_options.stopGraceMs }, { "warmUpOverage", m_options.warmUpOverage },
                { "warmUpSlack", m_options.warmUpSlack } } } };
    if (m_options.maxConfigurationAgeMs)
        settings["registry"].as_object()["maxConfigurationAgeMs"] = *m_options.maxConfigurationAgeMs;
    if (m_options.knowEachOther) {
        settings["peerAddress"] = peerIp(number) + ":" + std::to_string(m_peerPort.address().port);
        json::array seeds;
        for (std::size_t n = 0; n < seedCount; ++n)
            seeds.push_back(json::value(peerIp(n) + ":1"));
        settings["registry"].as_object()["seeds"] = std::move(seeds);
    }
    const auto more = json::parse(m_options.settings);
    for (const auto& setting : more.as_object())
        settings.insert_or_assign(setting.key(), setting.value());
    std::ofstream(file) << json::serialize(settings);
    Process process({ DAEMON_BINARY, "--settings", file.string() });
    auto addresses = process.readListening();
    return { std::move(process), addresses.at("caller"), addresses.at("admin") };
}

Response RegistryCluster::callRegistry(
    const std::string& method, const std::string& target, const std::string& body) const
{
    return call(m_registryAddress, { method, target, {}, body, {} });
}

Response RegistryCluster::request(const std::string& method, const std::string& path, const std::string& id,
    std::size_t daemon, const std::string& body)
{
    const std::string length = body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    TestClient client(m_daemons.at(daemon).caller);
    client.send(method + " " + path + " HTTP/1.1\r\nHost: shop\r\nDogwoodhall-Attempt-Id: " + id
        + "\r\nDogwoodhall-Deadline-Ms: 2000\r\n" + length + "\r\n" + body);
    return client.readResponse();
}

std::size_t RegistryCluster::runs(const std::string& id) const
{
    std::ifstream file(m_folder / "runs");
    std::size_t count = 0;
    for (std::string line; std::getline(file, line);)
        count += line == id;
    return count;
}

std::size_t RegistryCluster::received(std::size_t endpoint) const
{
    return std::stoul(call(m_endpoints.at(endpoint).address, { "GET", "/control/received", {}, {}, {} }).body);
}

std::size_t RegistryCluster::contacts(std::size_t endpoint) const
{
    const auto& address = m_endpoints.at(endpoint).address;
    return received(endpoint) + std::stoul(call(address, { "GET", "/control/health-calls", {}, {}, {} }).body);
}
std::size_t RegistryCluster::busiestSecond(std::size_t endpoint) const
{
    return std::stoul(call(m_endpoints.at(endpoint).address, { "GET", "/control/busiest-second", {}, {}, {} }).body);
}

double RegistryCluster::chance(const std::string& path, std::size_t daemon) const
{
    const auto target = "/where?host=shop&path=" + path;
    const auto where = json::parse(call(m_daemons.at(daemon).admin, { "GET", target, {}, {}, {} }).body);
    return where.at("endpoints").at(0).at("chance").to_number<double>();
}

void RegistryCluster::setMode(std::size_t endpoint, const std::string& query)
{
    call(m_endpoints.at(endpoint).address, { "PUT", "/control/mode?" + query, {}, {}, {} });
}

void RegistryCluster::setRegistryMode(const std::string& state) { callRegistry("PUT", "/control/mode?state=" + state); }

void RegistryCluster::freezeSerializableReads() { callRegistry("PUT", "/control/serializable?stale=1"); }

void RegistryCluster::copyRegistry() { callRegistry("PUT", "/control/copy"); }

void RegistryCluster::restoreRegistry() { callRegistry("PUT", "/control/restore"); }

void RegistryCluster::paceRegistry(std::uint64_t bytesPerSecond)
{
    callRegistry("PUT", "/control/pace?bytes_per_second=" + std::to_string(bytesPerSecond));
}

void RegistryCluster::compactRegistry() { callRegistry("PUT", "/control/compact"); }

std::size_t RegistryCluster::registryReads() const { return std::stoul(callRegistry("GET", "/control/reads").body); }

std::uint64_t RegistryCluster::publishText(const std::string& key, const std::string& text)
{
    return std::stoull(callRegistry("PUT", "/control/items/" + key, toBase64(text)).body);
}

void RegistryCluster::publishRawItem(const std::string& key, const std::string& item)
{
    callRegistry("PUT", "/control/raw-items/" + key, item);
}

void RegistryCluster::publishAddress(const std::string& id, const NetworkAddress& address)
{
    publishText("servers/" + id, endpointEntry(address, "ready", "dc0", ++m_entriesWritten));
}

void RegistryCluster::evacuate(const std::string& dataCentre) { publishText("op/evacuate/" + dataCentre, "{}"); }

void RegistryCluster::endEvacuation(const std::string& dataCentre)
{
    callRegistry("DELETE", "/control/items/op/evacuate/" + dataCentre);
}

std::string RegistryCluster::dataCentreOf(std::size_t endpoint) const
{
    return endpoint < m_options.dataCentres.size() ? m_options.dataCentres[endpoint] : "dc0";
}

void RegistryCluster::publishRouting(
    unsigned version, const std::string& prefix, const std::vector<std::string>& allowedRegions)
{
    char digits[16];
    std::snprintf(digits, sizeof(digits), "%08x", version);
    json::object catalogue { { "health_path", "/health" }, { "max_connections", 100 }, { "protocol", "h1" },
        { "tls", false } };
    if (m_options.coldRequestsPerSecond)
        catalogue["cold_per_s"] = *m_options.coldRequestsPerSecond;
    json::object routes { { "lookups", route(prefix, "idempotent", m_options.routeTimeoutMs, allowedRegions) },
        { "orders", route("/orders/", "non_idempotent", m_options.routeTimeoutMs, allowedRegions) } };
    for (unsigned n = 0; n < m_options.unusedRoutes; ++n) {
        const auto name = "unused-" + std::to_string(n);
        routes[name] = route("/" + name + "/", "idempotent", m_options.routeTimeoutMs, allowedRegions);
    }
    json::object document { { "version", digits }, { "routes", std::move(routes) },
        { "services", json::object { { "catalogue", catalogue } } } };
    if (m_callerBounds)
        document["limits"] = json::object { { "max_header_bytes", m_callerBounds->headerBytes },
            { "max_body_bytes", m_callerBounds->bodyBytes }, { "header_timeout_ms", headerTimeoutMs },
            { "idle_timeout_ms", idleTimeoutMs } };
    publishText("op/config", json::serialize(document));
}

void RegistryCluster::publishBounds(unsigned version, const CallerBounds& bounds)
{
    m_callerBounds = bounds;
    publishRouting(version);
}

std::uint64_t RegistryCluster::publishEndpoint(std::size_t endpoint, const std::string& state, unsigned warmUpLeftMs)
{
    const auto& it = m_endpoints.at(endpoint);
    return publishText(
        "servers/" + it.id, endpointEntry(it.address, state, dataCentreOf(endpoint), ++m_entriesWritten, warmUpLeftMs));
}

void RegistryCluster::waitForRevision(std::uint64_t revision) const
{
    const auto uses = [&](const Daemon& daemon) {
        const auto status = json::parse(call(daemon.admin, { "GET", "/status", {}, {}, {} }).body);
        return status.at("revision").to_number<std::uint64_t>() >= revision;
    };
    if (!eventually([&] { return std::all_of(m_daemons.begin(), m_daemons.end(), uses); }))
        throw std::runtime_error("a daemon does not use revision " + std::to_string(revision));
}

void RegistryCluster::removeEndpoint(std::size_t endpoint)
{
    callRegistry("DELETE", "/control/items/servers/" + m_endpoints.at(endpoint).id);
}

} // namespace dogwoodhall
