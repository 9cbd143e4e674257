#include "dogwoodhall/fleet/FirstReadDelay.h"

#include <chrono>

namespace dogwoodhall {

Duration drawFirstReadDelay(std::optional<std::size_t> listedHosts, RandomEngine& random)
{
    constexpr std::size_t designHosts = 3000;
    constexpr std::size_t hostsWithoutDelay = 100;
    constexpr Duration perHost = std::chrono::milliseconds(1);
    const std::size_t hosts = listedHosts.value_or(designHosts);
    if (hosts <= hostsWithoutDelay)
        return Duration::zero();
    const Duration bound = perHost * static_cast<std::int64_t>(hosts);
    return Duration(std::uniform_int_distribution<std::int64_t>(0, bound.count())(random));
}

} // namespace dogwoodhall
