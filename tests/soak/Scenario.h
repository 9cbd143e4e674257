#pragma once

#include "FaultProxy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dogwoodhall::soak {

enum class FaultKind {
    KillDaemon,
    PauseDaemon,
    StopDaemon, // SIGTERM, and a restart after the exit.
    ReloadDaemon, // SIGHUP.
    StoreLink,
    EndpointLink,
    StoreDown,
    StoreBusy,
    CompactStore,
    EndpointFault, // One of the fault modes of the endpoint stand-in.
    ReplaceEndpoint, // Marked as draining, ended some seconds later and replaced by a new one.
    KillEndpoint,
    CoolEndpoint, // Becomes cold for some seconds.
    ChangeRouting,
    KillManyDaemons, // More than half of them at the same moment.
    StarveDaemons, // A third of them get the processor for a fifth of the time.
    RefuseDaemons, // The store resets the connections of a third of the daemons and serves the others.
    FaultManyEndpoints, // The fault mode on half of the endpoints.
    Evacuate, // A data centre, for longer than the delay after which nothing new may be sent to it.
    RestoreStore, // Down for a moment, and back from a copy that is `duration` old, in the next era.
    StaleStoreReads, // Serializable reads of the store return an old state.
    TurnAwayDaemons, // The store answers 429 and 503 to a third of the daemons and serves the others.
};

// True for planned operations, during which no request may be interrupted and no outdated configuration used.
bool isPlanned(FaultKind);
const char* toString(FaultKind);

struct Fault {
    FaultKind kind = FaultKind::ReloadDaemon;
    Duration at {}; // Since the start of the clients.
    Duration duration {};
    std::size_t target = 0; // Index of the daemon, endpoint or data centre, depending on the kind.
    LinkFault link = LinkFault::None;
    std::string mode; // Query that sets the mode of the endpoint stand-in.
};

struct ScenarioLimits {
    Duration length = std::chrono::seconds(20);
    Duration faultFreeTail = std::chrono::seconds(7); // The guarantees hold again 3 s after the last fault.
    std::size_t daemons = 3;
    std::size_t endpoints = 6;
    double faultsPerSecond = 1.2;
};

// The faults of a run, determined by the seed; they may overlap. `selection` is "all" or one group of faults:
// "signals", "links", "store", "endpoints", "planned", "fleet" or "restore". The last two are not part of "all".
// "overlap" has the faults of every group, twice as many at a time.
// Returns no faults for an unknown group.
std::vector<Fault> makeScenario(std::uint64_t seed, const std::string& selection, const ScenarioLimits&);

} // namespace dogwoodhall::soak
