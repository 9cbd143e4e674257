#pragma once

#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/daemon/Snapshot.h"
#include "dogwoodhall/fleet/Member.h"

#include <optional>
#include <string>
#include <vector>

namespace dogwoodhall {

// A pool of a service in force and the member that is its home; empty where none can be.
struct PlacedPool {
    PoolId pool;
    std::optional<MemberId> home;
    bool hasEndpoint = false; // One whose host is not leaving.
};

// The homes by which the traffic threads send requests.
std::vector<PlacedPool> homesIn(const Snapshot&, const MemberId& self);

// What this member knows, for operators. Revision, host list and homes are those that requests meet: a change that is
// not published to the traffic threads yet does not show.
struct StatusReport {
    MemberId member;
    Incarnation incarnation;
    DataCentreId dataCentre;
    bool isReady = false;
    bool isDraining = false;
    bool isWatcher = false; // Reads the configuration service for its data centre.
    Revision revision; // Highest seen, rejected records included.
    std::uint64_t hostListVersion = 0;
    std::size_t requestsRunning = 0;
    std::vector<const Member*> members; // Entry hosts of the host list that are known. Must outlive the report.
    std::vector<PlacedPool> homes; // As last published to the traffic threads.
};

// The body of GET /status, a JSON object with a line end; docs/OPERATIONS.md describes its fields.
std::string toJson(const StatusReport&);

} // namespace dogwoodhall
