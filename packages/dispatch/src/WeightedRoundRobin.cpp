#include "dogwoodhall/dispatch/WeightedRoundRobin.h"

#include <algorithm>
#include <cassert>

namespace dogwoodhall {

const ServiceId& WeightedRoundRobin::next(const RouteDeclaration& route)
{
    assert(!route.parts.empty());
    if (route.parts.size() == 1)
        return route.parts.front().service;
    auto& rotation = m_rotations[route.id];
    if (rotation.parts != route.parts) {
        rotation.parts = route.parts;
        rotation.credit.assign(route.parts.size(), 0);
    }
    std::int64_t total = 0;
    for (std::size_t n = 0; n < rotation.parts.size(); ++n) {
        rotation.credit[n] += rotation.parts[n].weight;
        total += rotation.parts[n].weight;
    }
    const auto largest = std::max_element(rotation.credit.begin(), rotation.credit.end());
    *largest -= total;
    return route.parts[static_cast<std::size_t>(largest - rotation.credit.begin())].service;
}

} // namespace dogwoodhall
