#include "dogwoodhall/pool/PlacementPolicy.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

using Candidates = std::vector<EndpointCandidate>;
using Load = double (*)(const EndpointCandidate&);

double capacityOf(const EndpointCandidate& candidate)
{
    return std::max<double>(1, candidate.slots.count()) * std::max(candidate.weight, 0.01);
}

double ownLoad(const EndpointCandidate& candidate) { return (candidate.inUse.count() + 1) / capacityOf(candidate); }

double reportedLoad(const EndpointCandidate& candidate)
{
    return (candidate.reportedInUse.value_or(SlotCount(0)).count() + 1) / capacityOf(candidate);
}

std::size_t randomBelow(std::size_t count, RandomEngine& random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

PlacementPolicy twoChoices(Load load)
{
    return [load](const Candidates& candidates, WorkClass, DecisionContext context) -> std::optional<std::size_t> {
        const std::size_t count = candidates.size();
        if (count == 0)
            return std::nullopt;
        if (count == 1)
            return 0;
        const std::size_t first = randomBelow(count, context.random);
        // Draws the second from the remaining candidates, so that the two differ.
        const std::size_t second = (first + 1 + randomBelow(count - 1, context.random)) % count;
        return load(candidates[second]) < load(candidates[first]) ? second : first;
    };
}

} // namespace

PlacementPolicy leastLoaded()
{
    return [](const Candidates& candidates, WorkClass, DecisionContext context) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        double bestLoad = 0;
        std::size_t ties = 0;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            const double load = ownLoad(candidates[n]);
            if (!best || load < bestLoad) {
                best = n;
                bestLoad = load;
                ties = 1;
            } else if (load == bestLoad && randomBelow(++ties, context.random) == 0)
                best = n;
        }
        return best;
    };
}

PlacementPolicy randomEndpoint()
{
    return [](const Candidates& candidates, WorkClass, DecisionContext context) -> std::optional<std::size_t> {
        if (candidates.empty())
            return std::nullopt;
        double total = 0;
        for (const auto& candidate : candidates)
            total += capacityOf(candidate);
        double draw = std::uniform_real_distribution<double>(0, total)(context.random);
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            draw -= capacityOf(candidates[n]);
            if (draw < 0)
                return n;
        }
        return candidates.size() - 1;
    };
}

PlacementPolicy twoChoicesByReportedLoad() { return twoChoices(reportedLoad); }

PlacementPolicy twoChoicesByOwnRequests() { return twoChoices(ownLoad); }

} // namespace dogwoodhall
