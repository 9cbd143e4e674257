#pragma once

#include "dogwoodhall/core/Ids.h"

#include <cstdint>
#include <vector>

namespace dogwoodhall {

// Rendezvous hashing: each candidate has a score for each key, and the highest score wins. Adding or removing a
// candidate moves only the keys that it wins, 1/n of all.
class Rendezvous {
public:
    Rendezvous() = default;
    explicit Rendezvous(std::vector<MemberId> candidates);

    // The winner, or null if there are no candidates. Valid until this object is changed.
    const MemberId* winner(std::uint64_t key) const;
    // The `count` best candidates, highest score first.
    std::vector<MemberId> ranked(std::uint64_t key, std::size_t count) const;

    const std::vector<MemberId>& candidates() const { return m_candidates; }

private:
    std::vector<MemberId> m_candidates;
    std::vector<std::uint64_t> m_hashes; // stableHash() of each candidate, so that a score costs one mixing step.
};

} // namespace dogwoodhall
