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
    std::optional<NetworkAddress> peer; // As in the host list: where there is a relay, the relay's.
};

// The platform stand-in, upstreams and daemons of one test, on ports that the kernel chooses. Its service takes every
// path; POST is not idempotent; /download is long work.
class Cluster {
public:
    class Builder;

    Cluster(Cluster&&) = default;
    ~Cluster();

    DaemonProcess& daemon(std::size_t n = 0) { return m_daemons.at(n); }
    std::vector<DaemonProcess>& daemons() { return m_daemons; }
    UpstreamProcess& upstream(std::size_t n = 0) { return m_upstreams.at(n); }
    Process& platform() { return m_platform; }
    // Before the peer ports and, under the name "platform", before the platform; see Builder::relayed().
    PeerRelay& relay() { return *m_relay; }
    const NetworkAddress& caller() const { return m_daemons.front().caller; }

    // Times that any upstream ran the request, killed ones included.
    std::size_t runs(const std::string& id) const;
    std::size_t received(std::size_t upstream) const; // Requests that reached this upstream, run or not.
    std::size_t healthCalls(std::size_t upstream) const;
    std::size_t inUse(std::size_t upstream) const; // Requests that run there now.
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    void setMode(std::size_t upstream, const std::string& query);

    Answer platformCall(const std::string& method, const std::string& target, const std::string& body = {});
    std::uint64_t publishService(); // Names the upstreams that are declared. Gives the revision.
    // A record in schema version 1 or 2 that names this upstream only, for paths below "/<service>/<upstream>", so that
    // the member that routes a request shows its own record as well as the home that places it.
    std::string recordOf(const std::string& service, std::size_t upstream, int schemaVersion) const;
    // Gives the revision at which the store took the record.
    std::uint64_t publishRecord(const std::string& service, const std::string& value);
    void publishHosts();
    void killPlatform() { m_platform.kill(); }
    // Starts the platform anew at its former address, with the given state or none.
    void restartPlatform(const std::string& state);
    void waitReady(DaemonProcess&);
    DaemonProcess& startDaemon(const std::string& dataCentre);
    // Kills the daemon and starts it anew as the same member, at other addresses that the host list then names.
    void restartDaemon(std::size_t n);

    std::vector<std::string> declared; // Names of the upstreams that the service's record lists.

private:
    Cluster();

    void startUpstream(const std::string& dataCentre, std::size_t slots);
    DaemonProcess launchDaemon(const std::string& name, const std::string& dataCentre);
    std::size_t askNumber(std::size_t upstream, const std::string& target) const;

    TemporaryFolder m_folder;
    ReservedPort m_platformPort;
    Process m_platform;
    NetworkAddress m_platformAddress;
    std::unique_ptr<PeerRelay> m_relay;
    NetworkAddress m_platformForDaemons;
    std::vector<UpstreamProcess> m_upstreams;
    std::vector<DaemonProcess> m_daemons;
    std::size_t m_slots = 3;
    boost::json::object m_settings; // Of each daemon, beside those that it must have.
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
    Builder& relayed() { return m_isRelayed = true, *this; }

    // Starts the processes, publishes records and host list, and waits until every daemon is ready.
    Cluster start() const;

private:
    std::string topology() const;

    std::size_t m_dataCentres = 1;
    std::size_t m_otherRegionFrom = SIZE_MAX;
    std::optional<std::uint64_t> m_linkBytesPerSecond;
    bool m_isRelayed = false;
    std::size_t m_upstreams = 1;
    std::size_t m_daemons = 1;
    std::size_t m_slots = 3;
    boost::json::object m_settings;
};

} // namespace dogwoodhall
