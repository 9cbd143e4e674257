#include "dogwoodhall/daemon/control/StatusReport.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <string_view>
#include <utility>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

json::array membersAsJson(const std::vector<const Member*>& members)
{
    // Indexed by MemberState.
    static constexpr std::array<std::string_view, 4> stateNames { "alive", "leaving", "suspect", "gone" };
    json::array items;
    for (const auto* member : members) {
        const bool isHeardOf = member->incarnation != Incarnation();
        const auto state = isHeardOf ? stateNames[static_cast<std::size_t>(member->state)] : "unknown";
        items.push_back(
            json::object { { "id", member->id.value() }, { "state", state }, { "ready", member->isReady } });
    }
    return items;
}

json::array homesAsJson(const std::vector<PlacedPool>& pools)
{
    json::array items;
    for (const auto& [pool, home, hasEndpoint] : pools) {
        items.push_back(json::object {
            { "pool", toString(pool) }, { "home", home ? json::value(home->value()) : json::value(nullptr) } });
    }
    return items;
}

} // namespace

std::vector<PlacedPool> homesIn(const Snapshot& snapshot, const MemberId& self)
{
    std::vector<PlacedPool> homes;
    for (const auto& [service, pools] : snapshot.poolsOf) {
        for (const auto& it : pools) {
            PlacedPool placed { { service, it.dataCentre }, std::nullopt, it.isReachable };
            const auto& own = snapshot.ownPools;
            if (const auto remote = snapshot.remoteHomes.find(placed.pool); remote != snapshot.remoteHomes.end())
                placed.home = remote->second.member;
            else if (std::find(own.begin(), own.end(), placed.pool) != own.end())
                placed.home = self;
            homes.push_back(std::move(placed));
        }
    }
    return homes;
}

std::string toJson(const StatusReport& report)
{
    const json::object status { { "member", report.member.value() },
        { "incarnation", std::to_string(report.incarnation.value()) }, { "dataCentre", report.dataCentre.value() },
        { "ready", report.isReady }, { "draining", report.isDraining }, { "watcher", report.isWatcher },
        { "revision", report.revision.value() }, { "storeEra", report.storeEra.value() },
        { "hostListVersion", report.hostListVersion }, { "requestsRunning", report.requestsRunning },
        { "members", membersAsJson(report.members) }, { "homes", homesAsJson(report.homes) } };
    return json::serialize(status) + "\n";
}

} // namespace dogwoodhall
