#include "dogwoodhall/dispatch/WeightedRoundRobin.h"

#include <algorithm>
#include <cassert>

namespace dogwoodhall {

std::size_t WeightedRoundRobin::Turns::advance(const RouteDeclaration& route)
{
    if (parts != route.parts) {
        parts = route.parts;
        credit.assign(route.parts.size(), 0);
    }
    std::int64_t total = 0;
    for (std::size_t n = 0; n < parts.size(); ++n) {
        credit[n] += parts[n].weight;
        total += parts[n].weight;
    }
    const auto largest = std::max_element(credit.begin(), credit.end());
    *largest -= total;
    return static_cast<std::size_t>(largest - credit.begin());
}

const ServiceId& WeightedRoundRobin::next(const RouteDeclaration& route)
{
    assert(!route.parts.empty());
    if (route.parts.size() == 1)
        return route.parts.front().service;
    return route.parts[m_turns[route.id].advance(route)].service;
}

const ServiceId& WeightedRoundRobin::peek(const RouteDeclaration& route) const
{
    assert(!route.parts.empty());
    if (route.parts.size() == 1)
        return route.parts.front().service;
    const auto it = m_turns.find(route.id);
    Turns turns = it == m_turns.end() ? Turns {} : it->second;
    return route.parts[turns.advance(route)].service;
}

} // namespace dogwoodhall
