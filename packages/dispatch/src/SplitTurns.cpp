#include "dogwoodhall/dispatch/SplitTurns.h"

#include <algorithm>
#include <cassert>

namespace dogwoodhall {

const ServiceId& SplitTurns::next(const RouteDeclaration& route)
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
    const auto most = std::max_element(turns.credit.begin(), turns.credit.end());
    *most -= total;
    return route.parts[static_cast<std::size_t>(most - turns.credit.begin())].service;
}

} // namespace dogwoodhall
