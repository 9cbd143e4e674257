#pragma once

#include "FaultProxy.h"
#include "Process.h"
#include "TemporaryFolder.h"

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodhall::soak {

// Real daemons with stand-ins for the platform's store and the endpoints on loopback, connected through fault proxies.
// Routes of host "shop": /lookups/ is idempotent, /orders/ is not, and version n adds the idempotent route /v<n>/,
// which version n + 2 removes; /restricted/ allows only the region of dc0. Daemons and endpoints are in dc0 and dc1 in
// turn. Methods that start processes or call stand-ins must be called on the main thread while
// another thread runs the event loop.
class SoakCluster {
public:
    struct Endpoint {
        std::string id;
        std::unique_ptr<Process> process;
        NetworkAddress address; // Of the process, not of its proxy.
        std::unique_ptr<FaultProxy> proxy;
    };
    struct Daemon {
        std::string name;
        boost::json::object settings;
        std::string settingsPath;
        std::unique_ptr<FaultProxy> storeProxy;
        std::unique_ptr<Process> process;
        // One for each start, kept until the run ends: clients of a process that has ended would otherwise reach
        // whichever process took its port.
        std::vector<ReservedPort> callerPorts {};
        NetworkAddress callerAddress;
        NetworkAddress adminAddress;
        std::uint64_t incarnation = 0;
    };

    SoakCluster(boost::asio::io_context&, std::size_t daemons, std::size_t endpoints);

    std::vector<Daemon>& daemons() { return m_daemons; }
    std::vector<Endpoint>& endpoints() { return m_endpoints; }

    void startDaemon(std::size_t);
    // Starts a process with a new id in the endpoint's slot and registers it as ready.
    void startEndpoint(std::size_t);
    // Removes the registration if `state` is empty.
    void registerEndpoint(std::size_t, const std::string& state);
    void setMode(std::size_t endpoint, const std::string& query);
    std::size_t busiestColdSecond(std::size_t endpoint) const;
    static std::string dataCentreOf(std::size_t n) { return n % 2 == 0 ? "dc0" : "dc1"; }
    void setEvacuated(const std::string& dataCentre, bool isEvacuated);
    // Data centre by endpoint id, including replaced ones.
    const std::map<std::string, std::string>& endpointDataCentres() const { return m_endpointDataCentres; }
    void setStoreMode(const std::string& state);
    void compactStore();
    // Serializable reads return the state of this moment until it is called with false.
    void setStaleReads(bool);
    // Keeps a copy of the store, to which restoreStore() goes back in the next era.
    void copyStore();
    void restoreStore();
    // Changes of keys that daemons do not use.
    void writeOtherKeys(std::size_t count);
    // What the operator and the endpoints do after the store has lost changes.
    void writeAllAgain();
    std::uint64_t publishRouting(); // Returns the new version.
    // Executed requests: pairs of request id and endpoint id.
    std::vector<std::pair<std::string, std::string>> executions() const;
    // Requests that reached endpoints, run or not: pairs of request id and time.
    std::vector<std::pair<std::string, TimePoint>> arrivals() const;

private:
    // What an endpoint has registered last.
    struct Registration {
        NetworkAddress address;
        std::string dataCentre;
        std::string state; // Empty if it has removed its entry.
        std::uint64_t sequence = 0;
    };

    void addDaemon();
    void writeRegistration(const std::string& id);
    void writeRouting();
    void writeEvacuation(const std::string& dataCentre);
    void callStore(const std::string& method, const std::string& target, const std::string& body = {});

    boost::asio::io_context& m_io;
    TemporaryFolder m_folder;
    Process m_store;
    NetworkAddress m_storeAddress;
    ReservedPort m_peerPort; // The same port on the IP address of each daemon, which the seeds require.
    std::vector<Endpoint> m_endpoints;
    std::vector<Daemon> m_daemons;
    std::vector<std::string> m_endpointIds; // Including replaced ones.
    std::map<std::string, std::string> m_endpointDataCentres;
    std::vector<std::unique_ptr<FaultProxy>> m_retiredProxies; // Of replaced endpoints.
    std::map<std::string, Registration> m_registrations; // By endpoint id.
    std::map<std::string, bool> m_evacuations; // By data centre.
    std::uint64_t m_routingVersion = 0;
};

} // namespace dogwoodhall::soak
