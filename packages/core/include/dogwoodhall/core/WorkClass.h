#pragma once

#include <cstdint>

namespace dogwoodhall {

// Short work is never queued behind long work; long work may use only a limited share of the slots.
enum class WorkClass : std::uint8_t {
    Short,
    Long,
};

// Low-priority requests are refused first as a queue fills.
enum class Priority : std::uint8_t {
    Normal,
    Low,
};

} // namespace dogwoodhall
