#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/fleet/Member.h"

#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall {

// A pool of a configured service and its home member; empty if no member can be its home.
struct PlacedPool {
    PoolId pool;
    std::optional<MemberId> home;
    bool hasEndpoint = false; // At least one endpoint whose host is not leaving.
};

// The homes that the traffic threads use to place requests.
std::vector<PlacedPool> homesIn(const Snapshot&, const MemberId& self);

// This member's state, for operators. Revision, host list and homes are those that requests are served with: a change
// that has not been published to the traffic threads yet is not included.
struct StatusReport {
    MemberId member;
    Incarnation incarnation;
    DataCentreId dataCentre;
    bool isReady = false;
    bool isDraining = false;
    bool isWatcher = false; // Reads the configuration service for its data centre.
    Revision revision; // Highest seen, including rejected records.
    Era storeEra; // The latest that the configuration service has named to this member.
    std::uint64_t hostListVersion = 0;
    std::size_t requestsRunning = 0;
    std::vector<const Member*> members; // Known entry hosts in the host list. Must outlive the report.
    std::vector<PlacedPool> homes; // As last published to the traffic threads.
};

// Returns the body of GET /status, a JSON object with a trailing newline. docs/OPERATIONS.md describes its fields.
std::string toJson(const StatusReport&);

} // namespace dogwoodhall
