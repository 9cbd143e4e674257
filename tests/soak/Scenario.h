#pragma once

#include "FaultProxy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dogwoodhall::soak {

enum class FaultKind {
    KillDaemon,
    PauseDaemon,
    StopDaemon, // SIGTERM, and a start after its end.
    ReloadDaemon, // SIGHUP.
    StoreLink,
    EndpointLink,
    StoreDown,
    StoreBusy,
    CompactStore,
    EndpointFault, // Of those that the stand-in knows, by name.
    ReplaceEndpoint, // It says that it leaves, goes some seconds later, and another one starts.
    KillEndpoint,
    ChangeRouting,
};

// Planned work is no excuse for a cut request or an old configuration.
bool isPlanned(FaultKind);
const char* toString(FaultKind);

struct Fault {
    FaultKind kind = FaultKind::ReloadDaemon;
    Duration at {}; // From the start of the clients.
    Duration duration {};
    std::size_t target = 0; // Of its kind: a daemon or an endpoint.
    LinkFault link = LinkFault::None;
    std::string mode; // Of an endpoint's stand-in.
};

struct ScenarioLimits {
    Duration length = std::chrono::seconds(20);
    Duration calmAtEnd = std::chrono::seconds(7); // Three seconds of it until the promises hold again.
    std::size_t daemons = 3;
    std::size_t endpoints = 6;
    double faultsPerSecond = 1.2;
};

// The faults of a run, by a seed: in series, and overlapping. `selection` is "all", or a group of faults: "signals",
// "links", "store", "endpoints", "planned". Empty where there is no such group.
std::vector<Fault> makeScenario(std::uint64_t seed, const std::string& selection, const ScenarioLimits&);

} // namespace dogwoodhall::soak
