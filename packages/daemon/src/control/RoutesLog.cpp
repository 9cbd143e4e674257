#include "dogwoodhall/daemon/control/RoutesLog.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <vector>

namespace dogwoodhall {

namespace {

// Of a list of routes in one line. A document may add more than a thousand.
constexpr std::size_t maxListed = 20;

using RouteKeys = std::set<std::string>; // Such as "shop.example/orders/".

RouteKeys keysOf(const Directory& directory)
{
    RouteKeys keys;
    for (const auto& route : directory.routes())
        keys.insert(route.hostName + route.pathPrefix);
    return keys;
}

void addDifference(EventLine& line, const char* name, const char* countName, const RouteKeys& of, const RouteKeys& from)
{
    std::vector<std::string> difference;
    std::set_difference(of.begin(), of.end(), from.begin(), from.end(), std::back_inserter(difference));
    std::string text;
    for (std::size_t n = 0; n < std::min(difference.size(), maxListed); ++n)
        text += (n == 0 ? "" : " ") + difference[n];
    line.add(countName, std::uint64_t(difference.size())).add(name, text);
}

} // namespace

std::optional<EventLine> describeRouteChanges(const Directory* before, const Directory& after)
{
    if (before && before->version() == after.version())
        return std::nullopt;
    const auto old = before ? keysOf(*before) : RouteKeys {};
    const auto current = keysOf(after);
    EventLine line(EventKind::Belief, "routes-changed");
    line.add("version", after.version()).add("routes", std::uint64_t(after.routes().size()));
    addDifference(line, "added", "addedCount", current, old);
    addDifference(line, "removed", "removedCount", old, current);
    return line;
}

} // namespace dogwoodhall
