#include "dogwoodhall/dispatch/WeightedRoundRobin.h"

#include <algorithm>
#include <cassert>

namespace dogwoodhall {

const ServiceId& WeightedRoundRobin::next(const RouteDeclaration& route)
{
    assert(!route.parts.empty());
    if (route.parts.size() == 1)
        return route.parts.front().service;
    auto& turns = m_turns[route.id];
    if (turns.parts != route.parts) {
        turns.parts = route.parts;
        turns.credit.assign(route.parts.size(), 0);
    }
    std::int64_t total = 0;
    for (std::size_t n = 0; n < turns.parts.size(); ++n) {
        turns.credit[n] += turns.parts[n].weight;
        total += turns.parts[n].weight;
    }
    const auto largest = std::max_element(turns.credit.begin(), turns.credit.end());
    *largest -= total;
    return route.parts[static_cast<std::size_t>(largest - turns.credit.begin())].service;
}

} // namespace dogwoodhall
