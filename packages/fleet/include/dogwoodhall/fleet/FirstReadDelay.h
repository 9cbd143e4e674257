#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/core/Units.h"

#include <cstddef>
#include <optional>

namespace dogwoodhall {

// How long a starting member waits before each read of the records until one has succeeded. Uniform up to 1 ms for each
// listed entry host, so that a fleet that starts at once makes 1,000 of the configuration service's 2,000 reads a
// second; the host list takes up to 500 more (Fleet::hostListPeriod()). None up to 100 hosts, which may all read at
// once. Where the host list could not be read, the fleet may have the design size of 3,000.
Duration drawFirstReadDelay(std::optional<std::size_t> listedHosts, RandomEngine&);

} // namespace dogwoodhall
