#pragma once

#include <cstdint>

namespace dogwoodhall {

// Short work is never queued behind long work; long work holds a bounded share of the slots.
enum class WorkClass : std::uint8_t {
    Short,
    Long,
};

// Low-priority requests are refused first when a queue fills.
enum class Priority : std::uint8_t {
    Normal,
    Low,
};

} // namespace dogwoodhall
