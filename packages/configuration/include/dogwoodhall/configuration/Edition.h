#pragma once

#include "dogwoodhall/core/Ids.h"

#include <compare>
#include <cstdint>

namespace dogwoodhall {

// Place of a record's content in the sequence of its writer, who raises it with each change. It still says which of two
// contents is newer after the store has come back from an older copy and gives out its revisions again.
struct Edition {
    Incarnation run; // Of the writer; a later run begins a new sequence.
    std::uint64_t number = 0;

    friend auto operator<=>(const Edition&, const Edition&) = default;
    friend bool operator==(const Edition&, const Edition&) = default;
};

} // namespace dogwoodhall
