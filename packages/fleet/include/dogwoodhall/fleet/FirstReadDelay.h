#pragma once

#include "dogwoodhall/core/RandomEngine.h"
#include "dogwoodhall/core/Units.h"

#include <cstddef>
#include <optional>

namespace dogwoodhall {

// Random delay before each attempt of a starting member to read the records, until the first success. Uniformly
// distributed between 0 and 1 ms per listed entry host, so that a fleet that starts all at once makes 1,000 of the
// 2,000 reads per second that the configuration service allows; reads of the host list take up to 500 more
// (Fleet::hostListPeriod()). No delay for up to 100 hosts. If the host list could not be read, the design size of 3,000
// hosts is assumed.
Duration drawFirstReadDelay(std::optional<std::size_t> listedHosts, RandomEngine&);

} // namespace dogwoodhall
