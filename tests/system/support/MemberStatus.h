#pragma once

#include "Cluster.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwoodhall {

// What a member's GET /status says.
struct MemberStatus {
    bool isReady = false;
    bool isWatcher = false; // Reads the platform's changes itself.
    std::uint64_t revision = 0;
    std::uint64_t hostListVersion = 0;
    std::size_t alivePeers = 0; // Other members in the host list that it knows to be alive.
    std::string home; // Of the pool in the member's own data centre; empty for none.
    std::map<std::string, std::string> homes; // By data centre; none for a pool without a home.
};

MemberStatus statusOf(const DaemonProcess&);

// A counter of GET /metrics by its whole name, labels included.
std::uint64_t counterOf(const DaemonProcess&, const std::string& name);

// The ticket that POST /.dogwoodhall/tickets answers; throws where it answers none.
std::string takeTicket(const DaemonProcess&);

// Waits until these members are ready, know one another and name the same home for the pool of their data centre, other
// than `former`. Gives the home's member id; throws at testDeadline.
std::string agreedHome(const std::vector<const DaemonProcess*>&, const std::string& former = {});

} // namespace dogwoodhall
