#include "Scenario.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <span>

namespace dogwoodhall::soak {

namespace {

using std::chrono::milliseconds;

struct KindRow {
    FaultKind kind;
    const char* name;
    const char* group;
    bool isPlanned;
    milliseconds longest; // The shortest is a quarter of it.
};

const KindRow kinds[] = {
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
    { FaultKind::ChangeRouting, "change-routing", "planned", true, milliseconds(0) },
};

const LinkFault links[]
    = { LinkFault::Delayed, LinkFault::Reset, LinkFault::OneWay, LinkFault::Silent, LinkFault::Dead };

const char* const modes[]
    = { "fault=refuse", "fault=cut", "fault=cut-unrun", "fault=truncate", "fault=extra", "fault=other",
          "fault=unsigned", "fault=unframed", "fault=error", "fault=hang", "delay_ms=400", "health=503", "running=3" };

const KindRow& rowOf(FaultKind kind)
{
    return *std::find_if(std::begin(kinds), std::end(kinds), [&](const KindRow& row) { return row.kind == kind; });
}

} // namespace

bool isPlanned(FaultKind kind) { return rowOf(kind).isPlanned; }

const char* toString(FaultKind kind) { return rowOf(kind).name; }

std::vector<Fault> makeScenario(std::uint64_t seed, const std::string& selection, const ScenarioLimits& limits)
{
    std::vector<KindRow> chosen;
    std::copy_if(std::begin(kinds), std::end(kinds), std::back_inserter(chosen),
        [&](const KindRow& row) { return selection == "all" || selection == row.group; });
    std::vector<Fault> faults;
    if (chosen.empty())
        return faults;
    std::mt19937_64 random(seed);
    const auto below = [&](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
    const Duration first = std::chrono::seconds(1);
    const Duration last = std::max<Duration>(limits.length - limits.calmAtEnd, first + milliseconds(1));
    const auto count = static_cast<std::size_t>(toSeconds(last) * limits.faultsPerSecond);
    for (std::size_t n = 0; n < count; ++n) {
        const auto& row = chosen[below(chosen.size())];
        Fault fault;
        fault.kind = row.kind;
        fault.at
            = first + Duration(static_cast<Duration::rep>(below(static_cast<std::size_t>((last - first).count()))));
        const auto longest = std::max<std::size_t>(static_cast<std::size_t>(row.longest.count()), 4);
        fault.duration = std::min<Duration>(milliseconds(longest / 4 + below(longest)), last - fault.at);
        const bool isOfDaemon = row.kind < FaultKind::EndpointLink;
        fault.target = below(isOfDaemon ? limits.daemons : limits.endpoints);
        fault.link = links[below(std::size(links))];
        fault.mode = modes[below(std::size(modes))];
        faults.push_back(std::move(fault));
    }
    std::sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return faults;
}

} // namespace dogwoodhall::soak
