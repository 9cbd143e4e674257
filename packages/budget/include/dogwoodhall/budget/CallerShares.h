#pragma once

#include "dogwoodhall/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace dogwoodhall {

// What the platform lets the process use.
struct ProcessLimits {
    ByteCount memory;
    std::size_t descriptors = 0;
};

// What callers may take of it.
struct CallerShares {
    ByteCount memory { 64ULL * 1024 * 1024 };
    std::size_t connections = 4096;

    friend bool operator==(const CallerShares&, const CallerShares&) = default;
};

// Leaves the rest of the memory to the configuration, peers and endpoints, and the rest of the descriptors to files,
// endpoints, peers, the store and the operators' port.
CallerShares callerSharesOf(const ProcessLimits&);

// The share of one of several traffic threads. Divided statically, so that the threads need no synchronisation.
CallerShares shareOfThread(const CallerShares&, std::uint32_t threads);

// The share of the operators' port, beside that of the caller port.
CallerShares operatorShares();

} // namespace dogwoodhall
