#pragma once

#include "dogwoodhall/core/StrongId.h"

#include <compare>
#include <cstdint>
#include <ostream>

namespace dogwoodhall {

// Era of a configuration store. It rises by one each time the store comes back from an older copy, without the changes
// that it had acknowledged since, and gives out their revisions again. Zero if the store names none.
using Era = StrongId<struct EraTag, std::uint64_t>;

// Position in the history of a configuration store: an era, and in it a number for the whole store that increases with
// each change. The numbers of different eras say nothing about each other, so a later era always compares greater.
class Revision {
public:
    Revision() = default;
    explicit Revision(std::uint64_t value, Era era = Era())
        : m_era(era)
        , m_value(value)
    {
    }

    Era era() const { return m_era; }
    std::uint64_t value() const { return m_value; } // Within the era.

    friend auto operator<=>(const Revision&, const Revision&) = default;
    friend bool operator==(const Revision&, const Revision&) = default;
    friend std::ostream& operator<<(std::ostream& out, const Revision& revision)
    {
        out << revision.m_value;
        return revision.m_era == Era() ? out : out << " of era " << revision.m_era;
    }

private:
    Era m_era;
    std::uint64_t m_value = 0;
};

} // namespace dogwoodhall
