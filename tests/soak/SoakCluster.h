#pragma once

#include "FaultProxy.h"
#include "Process.h"
#include "TemporaryFolder.h"

#include <memory>
#include <string>
#include <vector>

namespace dogwoodhall::soak {

// The real daemons with stand-ins of the users' store and endpoints on loopback, each behind proxies. Routes of host
// "shop": /lookups/ is idempotent, /orders/ is not, and version n adds the idempotent route /v<n>/ until version n + 2.
// Methods that start processes or call stand-ins are for the main thread, while another one runs the event loop.
class SoakCluster {
public:
    struct Endpoint {
        std::string id;
        std::unique_ptr<Process> process;
        NetworkAddress address; // Of the process itself.
        std::unique_ptr<FaultProxy> proxy;
    };
    struct Daemon {
        std::string name;
        std::string settings; // Path of the file.
        std::unique_ptr<FaultProxy> store;
        std::unique_ptr<Process> process;
        NetworkAddress caller;
        NetworkAddress admin;
        std::uint64_t lifetime = 0;
    };

    SoakCluster(boost::asio::io_context&, std::size_t daemons, std::size_t endpoints);

    std::vector<Daemon>& daemons() { return m_daemons; }
    std::vector<Endpoint>& endpoints() { return m_endpoints; }

    void startDaemon(std::size_t);
    // A new process at the endpoint's place, under a new id, registered as ready.
    void startEndpoint(std::size_t);
    void registerEndpoint(std::size_t, const std::string& state);
    void setMode(std::size_t endpoint, const std::string& query);
    void setStoreMode(const std::string& state);
    void compactStore();
    std::uint64_t publishRouting(); // Gives the version.
    // Requests that endpoints have run, with the endpoint.
    std::vector<std::pair<std::string, std::string>> runs() const;

private:
    void addDaemon();
    void callStore(const std::string& method, const std::string& target, const std::string& body = {});

    boost::asio::io_context& m_io;
    TemporaryFolder m_folder;
    Process m_store;
    NetworkAddress m_storeAddress;
    ReservedPort m_peerPort; // The same on all daemons' addresses, which seeds need.
    std::vector<Endpoint> m_endpoints;
    std::vector<Daemon> m_daemons;
    std::vector<std::string> m_started; // Ids of all endpoints.
    std::vector<std::unique_ptr<FaultProxy>> m_retired;
    std::uint64_t m_version = 0;
};

} // namespace dogwoodhall::soak
