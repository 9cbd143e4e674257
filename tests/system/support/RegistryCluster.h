#pragma once

#include "Process.h"
#include "TemporaryFolder.h"
#include "TestClient.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall {

// The registry stand-in, endpoints that are registered in it, and daemons, on ports that the kernel chooses. Routes of
// host "shop": /lookups/ is idempotent, /orders/ is not.
class RegistryCluster {
public:
    struct Endpoint {
        std::string id;
        Process process;
        NetworkAddress address;
    };
    struct Daemon {
        Process process;
        NetworkAddress caller;
        NetworkAddress admin;
    };

    // Of heads and bodies of callers, as the routing document states them.
    struct CallerBounds {
        std::uint64_t headerBytes;
        std::uint64_t bodyBytes;
    };

    struct Options {
        unsigned drainGraceMs = 500; // Of each daemon.
        unsigned stopGraceMs = 5000;
        unsigned routeTimeoutMs = 1000;
        // Data centre of each endpoint; "dc0" for those not listed. Daemons are in "dc0". "dc0" and "dc1" are in region
        // "r0", "dc2" is in "r1".
        std::vector<std::string> dataCentres {};
        std::optional<double> coldRequestsPerSecond {}; // That an endpoint tolerates; empty for no limit.
        bool knowEachOther = false; // The daemons are seeds of each other.
        // Settings of each daemon.
        double warmUpOverage = 1;
        double warmUpSlack = 0;
        std::optional<unsigned> maxConfigurationAgeMs {}; // Empty for no limit.
        unsigned unusedRoutes = 0; // In each routing document, of about 250 bytes each.
        std::optional<CallerBounds> callerBounds {}; // Empty for a routing document without limits.
        std::string settings = "{}"; // More settings of each daemon, as a JSON object.

        static Options withMaxConfigurationAge(std::chrono::milliseconds);
    };

    RegistryCluster(std::size_t endpoints, std::size_t daemons = 1);
    RegistryCluster(std::size_t endpoints, std::size_t daemons, Options);

    Endpoint& endpoint(std::size_t n = 0) { return m_endpoints.at(n); }
    Daemon& daemon(std::size_t n = 0) { return m_daemons.at(n); }
    Process& registry() { return m_registry; }

    // Sends a request for host "shop" with this attempt id.
    Response request(const std::string& method, const std::string& path, const std::string& id, std::size_t daemon = 0,
        const std::string& body = {});
    // How often endpoints ran the request with this attempt id.
    std::size_t runs(const std::string& id) const;
    std::size_t received(std::size_t endpoint) const;
    // Requests and health calls that the endpoint has received.
    std::size_t contacts(std::size_t endpoint) const;
    // The most requests that arrived at the endpoint within any second.
    std::size_t busiestSecond(std::size_t endpoint) const;
    // That the daemon gives the only endpoint to answer a request with this path in time.
    double chance(const std::string& path, std::size_t daemon = 0) const;
    void setMode(std::size_t endpoint, const std::string& query);
    void setRegistryMode(const std::string& state);
    void compactRegistry();
    // The registry sends its answers at this rate from now on; 0 for no limit.
    void paceRegistry(std::uint64_t bytesPerSecond);
    // Keeps a copy of the registry, to which restoreRegistry() goes back in a new era.
    void copyRegistry();
    void restoreRegistry();
    // Serializable reads return the present state from now on, whatever changes.
    void freezeSerializableReads();
    std::size_t registryReads() const;

    // Writes the routing document; the idempotent route has this path prefix, and both allow these regions.
    void publishRouting(
        unsigned version, const std::string& prefix = "/lookups/", const std::vector<std::string>& allowedRegions = {});
    // Writes the routing document with these limits, which later ones keep.
    void publishBounds(unsigned version, const CallerBounds&);
    // Returns the revision of the entry.
    std::uint64_t publishEndpoint(std::size_t endpoint, const std::string& state, unsigned warmUpLeftMs = 0);
    // Waits until all daemons use this revision or a later one; throws at testDeadline.
    void waitForRevision(std::uint64_t) const;
    void evacuate(const std::string& dataCentre);
    void endEvacuation(const std::string& dataCentre);
    std::uint64_t publishText(const std::string& key, const std::string& text); // Returns the item's revision.
    // Stores an item that is returned as this text.
    void publishRawItem(const std::string& key, const std::string& item);
    // Writes the entry of an endpoint that this object does not start.
    void publishAddress(const std::string& id, const NetworkAddress&);
    void removeEndpoint(std::size_t endpoint);
    void startDaemon();
    // Kills the daemon and starts one in its place.
    void restartDaemon(std::size_t daemon = 0);

private:
    void startEndpoint();
    Daemon makeDaemon(std::size_t number) const;
    std::string dataCentreOf(std::size_t endpoint) const;
    Response callRegistry(const std::string& method, const std::string& target, const std::string& body = {}) const;

    const Options m_options;
    std::optional<CallerBounds> m_callerBounds;
    unsigned m_entriesWritten = 0; // Of all endpoints.
    TemporaryFolder m_folder;
    Process m_registry;
    NetworkAddress m_registryAddress;
    ReservedPort m_peerPort; // Of all daemons that know each other, each at an address of its own.
    std::vector<Endpoint> m_endpoints;
    std::vector<Daemon> m_daemons;
};

} // namespace dogwoodhall
