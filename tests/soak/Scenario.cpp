#include "Scenario.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <span>
#include <string_view>

namespace dogwoodhall::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds evacuationDuration { 7000 };
const std::string_view fleetGroup = "fleet"; // Needs many daemons.
// Apart from the others, whose seeds stand for failures of the past.
const std::string_view restoreGroup = "restore";
const std::string_view everyGroup = "overlap";
constexpr double overlapFactor = 2;

struct FaultKindInfo {
    FaultKind kind;
    const char* name;
    const char* group;
    bool isPlanned;
    milliseconds maxDuration; // The minimum is a quarter of it.
};

const FaultKindInfo faultKinds[] = {
    { FaultKind::KillDaemon, "kill-daemon", "signals", false, milliseconds(1000) },
    { FaultKind::PauseDaemon, "pause-daemon", "signals", false, milliseconds(3000) },
    { FaultKind::StopDaemon, "stop-daemon", "planned", true, milliseconds(0) },
    { FaultKind::ReloadDaemon, "reload-daemon", "planned", true, milliseconds(0) },
    { FaultKind::StoreLink, "store-link", "links", false, milliseconds(4000) },
    { FaultKind::EndpointLink, "endpoint-link", "links", false, milliseconds(3000) },
    { FaultKind::StoreDown, "store-down", "store", false, milliseconds(4000) },
    { FaultKind::StoreBusy, "store-busy", "store", false, milliseconds(4000) },
    { FaultKind::CompactStore, "compact-store", "store", false, milliseconds(100) },
    { FaultKind::EndpointFault, "endpoint-fault", "endpoints", false, milliseconds(3000) },
    { FaultKind::ReplaceEndpoint, "replace-endpoint", "planned", true, milliseconds(5000) },
    { FaultKind::KillEndpoint, "kill-endpoint", "endpoints", false, milliseconds(3000) },
    { FaultKind::CoolEndpoint, "cool-endpoint", "planned", true, milliseconds(4000) },
    { FaultKind::ChangeRouting, "change-routing", "planned", true, milliseconds(0) },
    { FaultKind::KillManyDaemons, "kill-many-daemons", "fleet", false, milliseconds(2000) },
    { FaultKind::StarveDaemons, "starve-daemons", "fleet", false, milliseconds(6000) },
    { FaultKind::RefuseDaemons, "refuse-daemons", "fleet", false, milliseconds(5000) },
    { FaultKind::FaultManyEndpoints, "fault-many-endpoints", "fleet", false, milliseconds(6000) },
    { FaultKind::ChangeRouting, "change-routing", "fleet", true, milliseconds(0) },
    { FaultKind::Evacuate, "evacuate", "planned", true, milliseconds(0) },
    { FaultKind::RestoreStore, "restore-store", "restore", false, milliseconds(3000) },
    { FaultKind::TurnAwayDaemons, "turn-away-daemons", "restore", false, milliseconds(4000) },
    { FaultKind::ChangeRouting, "change-routing", "restore", true, milliseconds(0) },
    { FaultKind::ReplaceEndpoint, "replace-endpoint", "restore", true, milliseconds(5000) },
    { FaultKind::KillDaemon, "kill-daemon", "restore", false, milliseconds(1000) },
    { FaultKind::StopDaemon, "stop-daemon", "restore", true, milliseconds(0) },
    { FaultKind::StoreDown, "store-down", "restore", false, milliseconds(2000) },
    { FaultKind::Evacuate, "evacuate", "restore", true, milliseconds(0) },
    { FaultKind::StaleStoreReads, "stale-store-reads", "overlap", false, milliseconds(5000) },
};

const LinkFault linkFaults[] = { LinkFault::Delayed, LinkFault::Reset, LinkFault::ResponsesStalled, LinkFault::Stalled,
    LinkFault::OpenConnectionsStalled };

const char* const endpointModes[]
    = { "fault=refuse", "fault=cut", "fault=cut-unrun", "fault=truncate", "fault=extra", "fault=other",
          "fault=unsigned", "fault=unframed", "fault=error", "fault=hang", "delay_ms=400", "health=503", "running=3" };

const FaultKindInfo& infoOf(FaultKind kind)
{
    return *std::find_if(
        std::begin(faultKinds), std::end(faultKinds), [&](const FaultKindInfo& row) { return row.kind == kind; });
}

} // namespace

bool isPlanned(FaultKind kind) { return infoOf(kind).isPlanned; }

const char* toString(FaultKind kind) { return infoOf(kind).name; }

std::vector<Fault> makeScenario(std::uint64_t seed, const std::string& selection, const ScenarioLimits& limits)
{
    std::vector<FaultKindInfo> candidates;
    std::copy_if(
        std::begin(faultKinds), std::end(faultKinds), std::back_inserter(candidates), [&](const FaultKindInfo& row) {
            const bool isInAll = row.group != fleetGroup && row.group != restoreGroup && row.group != everyGroup;
            return selection == row.group || selection == everyGroup || (selection == "all" && isInAll);
        });
    std::vector<Fault> faults;
    if (candidates.empty())
        return faults;
    std::mt19937_64 random(seed);
    const auto randomBelow
        = [&](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
    const Duration first = std::chrono::seconds(1);
    const Duration last = std::max<Duration>(limits.length - limits.faultFreeTail, first + milliseconds(1));
    const double rate = limits.faultsPerSecond * (selection == everyGroup ? overlapFactor : 1);
    const auto count = static_cast<std::size_t>(toSeconds(last) * rate);
    for (std::size_t n = 0; n < count; ++n) {
        const auto& row = candidates[randomBelow(candidates.size())];
        Fault fault;
        fault.kind = row.kind;
        fault.at = first
            + Duration(static_cast<Duration::rep>(randomBelow(static_cast<std::size_t>((last - first).count()))));
        const auto maxDuration = std::max<std::size_t>(static_cast<std::size_t>(row.maxDuration.count()), 4);
        fault.duration = std::min<Duration>(milliseconds(maxDuration / 4 + randomBelow(maxDuration)), last - fault.at);
        // Extends the run where it ends after the other faults.
        if (row.kind == FaultKind::Evacuate)
            fault.duration = evacuationDuration;
        const bool targetsDaemon = row.kind < FaultKind::EndpointLink;
        fault.target = randomBelow(targetsDaemon ? limits.daemons : limits.endpoints);
        fault.link = linkFaults[randomBelow(std::size(linkFaults))];
        fault.mode = endpointModes[randomBelow(std::size(endpointModes))];
        faults.push_back(std::move(fault));
    }
    std::sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return faults;
}

} // namespace dogwoodhall::soak
