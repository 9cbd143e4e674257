#pragma once

#include "PeerRelay.h"
#include "Process.h"
#include "TemporaryFolder.h"
#include "TestClient.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall {

struct UpstreamProcess {
    std::string name; // Also the id of its host and of its endpoint.
    std::string dataCentre;
    ReservedPort port;
    Process process;
    NetworkAddress address;
    bool isLeaving = false;
};

struct DaemonProcess {
    std::string name;
    std::string dataCentre;
    Process process;
    NetworkAddress caller;
    NetworkAddress admin;
    std::optional<NetworkAddress> peer; // Address in the host list; with a relay, an address of the relay.
};

// The platform stand-in, upstreams and daemons of one test, on ports that the kernel chooses. The published service
// matches every path. POST requests are not idempotent; requests below /download are of the work class `long`.
class Cluster {
public:
    class Builder;

    Cluster(Cluster&&) = default;
    ~Cluster();

    DaemonProcess& daemon(std::size_t n = 0) { return m_daemons.at(n); }
    std::vector<DaemonProcess>& daemons() { return m_daemons; }
    UpstreamProcess& upstream(std::size_t n = 0) { return m_upstreams.at(n); }
    Process& platform() { return m_platform; }
    // Forwards connections to the peer ports and, under the name "platform", to the platform. Exists only with
    // Builder::withRelay().
    PeerRelay& relay() { return *m_relay; }
    const NetworkAddress& caller() const { return m_daemons.front().caller; }

    // How often upstreams ran the request, including upstreams killed since.
    std::size_t runs(const std::string& id) const;
    std::size_t received(std::size_t upstream) const; // Requests that reached this upstream, whether run or not.
    std::size_t healthCalls(std::size_t upstream) const;
    std::size_t inUse(std::size_t upstream) const; // Requests that this upstream is running.
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    void setMode(std::size_t upstream, const std::string& query);

    Response platformCall(const std::string& method, const std::string& target, const std::string& body = {});
    std::uint64_t publishService(); // With the upstreams in `declaredUpstreams`. Returns the revision.
    // A record in schema version 1 or 2 whose only endpoint is this upstream, for paths below "/<service>/<upstream>".
    // The result of a request to such a path depends on the record of the member that routes it and on that of the home
    // that places it, so that it shows both.
    std::string recordOf(const std::string& service, std::size_t upstream, int schemaVersion) const;
    // Returns the revision at which the store accepted the record.
    std::uint64_t publishRecord(const std::string& service, const std::string& value);
    // Writes or deletes the evacuation record of a data centre. Returns the revision.
    std::uint64_t setEvacuated(const std::string& dataCentre, bool isEvacuated);
    void publishHosts();
    void killPlatform() { m_platform.kill(); }
    // Restarts the platform at the same address, with the given state, or without state if that is empty.
    void restartPlatform(const std::string& state);
    void waitUntilReady(DaemonProcess&);
    DaemonProcess& startDaemon(const std::string& dataCentre);
    // Kills the daemon and restarts it as the same member at other addresses, then publishes these in the host list.
    void restartDaemon(std::size_t n);

    boost::json::object serviceFields; // Further fields of the published service, in schema version 2.
    std::vector<std::string> declaredUpstreams; // Names of the upstreams that the service's record lists.

private:
    Cluster();

    void startUpstream(const std::string& dataCentre, std::size_t slots);
    DaemonProcess launchDaemon(const std::string& name, const std::string& dataCentre);
    std::size_t readNumber(std::size_t upstream, const std::string& target) const;

    TemporaryFolder m_folder;
    ReservedPort m_platformPort;
    Process m_platform;
    NetworkAddress m_platformAddress;
    std::unique_ptr<PeerRelay> m_relay;
    NetworkAddress m_platformAddressOfDaemons;
    std::vector<UpstreamProcess> m_upstreams;
    std::vector<DaemonProcess> m_daemons;
    // Of each daemon ever started: a daemon of a concurrent test at the port of a killed one would be sent the records
    // of this cluster, and hold them.
    std::vector<ReservedPort> m_peerPorts;
    std::size_t m_slots = 3;
    boost::json::object m_settings; // Of each daemon, in addition to the required ones.
};

class Cluster::Builder {
public:
    Builder& dataCentres(std::size_t n) { return m_dataCentres = n, *this; }
    Builder& upstreams(std::size_t n) { return m_upstreams = n, *this; } // In each data centre.
    Builder& daemons(std::size_t n) { return m_daemons = n, *this; } // In each data centre.
    Builder& slots(std::size_t n) { return m_slots = n, *this; }
    // A field of each daemon's settings file.
    Builder& setting(const std::string& name, boost::json::value value)
    {
        return m_settings[name] = std::move(value), *this;
    }
    // Data centres from this one on are in another region.
    Builder& otherRegionFrom(std::size_t n) { return m_otherRegionFrom = n, *this; }
    Builder& linkBytesPerSecond(std::uint64_t n) { return m_linkBytesPerSecond = n, *this; }
    Builder& withRelay() { return m_hasRelay = true, *this; }

    // Starts the processes, publishes records and host list, and waits until every daemon is ready.
    Cluster start() const;

private:
    std::string topology() const;

    std::size_t m_dataCentres = 1;
    std::size_t m_otherRegionFrom = SIZE_MAX;
    std::optional<std::uint64_t> m_linkBytesPerSecond;
    bool m_hasRelay = false;
    std::size_t m_upstreams = 1;
    std::size_t m_daemons = 1;
    std::size_t m_slots = 3;
    boost::json::object m_settings;
};

} // namespace dogwoodhall
