#include "dogwoodhall/budget/CallerShares.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

constexpr std::uint64_t memoryPercent = 35;
constexpr std::size_t descriptorPercent = 50;
constexpr std::size_t fileDescriptors = 200; // Reserved for files.
constexpr std::uint64_t minMemory = 1024 * 1024;
constexpr std::size_t minConnections = 8;
constexpr std::size_t percent = 100;

} // namespace

CallerShares callerSharesOf(const ProcessLimits& limits)
{
    CallerShares shares;
    shares.memory = ByteCount(std::max<std::uint64_t>(limits.memory.count() * memoryPercent / percent, minMemory));
    const std::size_t sockets = limits.descriptors - std::min(limits.descriptors, fileDescriptors);
    shares.connections = std::max(sockets * descriptorPercent / percent, minConnections);
    return shares;
}

CallerShares shareOfThread(const CallerShares& whole, std::uint32_t threads)
{
    return { ByteCount(whole.memory.count() / threads), std::max<std::size_t>(whole.connections / threads, 1) };
}

CallerShares operatorShares()
{
    CallerShares shares;
    shares.memory = ByteCount(4ULL * 1024 * 1024);
    shares.connections = 64;
    return shares;
}

} // namespace dogwoodhall
