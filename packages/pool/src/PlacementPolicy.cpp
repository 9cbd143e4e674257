#include "dogwoodhall/pool/PlacementPolicy.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

double loadOf(const EndpointCandidate& candidate)
{
    const double slots = std::max<double>(1, candidate.slots.count());
    return (candidate.inUse.count() + 1) / (slots * std::max(candidate.weight, 0.01));
}

} // namespace

PlacementPolicy leastInUse()
{
    return [](const std::vector<EndpointCandidate>& candidates, WorkClass,
               DecisionContext context) -> std::optional<std::size_t> {
        if (candidates.empty())
            return std::nullopt;
        std::vector<std::size_t> best;
        double bestLoad = 0;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            const double load = loadOf(candidates[n]);
            if (best.empty() || load < bestLoad) {
                best.assign(1, n);
                bestLoad = load;
            } else if (load == bestLoad)
                best.push_back(n);
        }
        return best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(context.random)];
    };
}

} // namespace dogwoodhall
