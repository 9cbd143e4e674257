#include "dogwoodhall/fleet/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace dogwoodhall {

namespace {

// The finalizer of splitmix64.
std::uint64_t mix(std::uint64_t x)
{
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace

Rendezvous::Rendezvous(std::vector<MemberId> candidates)
    : m_candidates(std::move(candidates))
{
    // A fixed order resolves ties between equal scores identically on every member.
    std::sort(m_candidates.begin(), m_candidates.end());
    m_hashes.reserve(m_candidates.size());
    for (const auto& id : m_candidates)
        m_hashes.push_back(stableHash(id.value()));
}

const MemberId* Rendezvous::winner(std::uint64_t key) const
{
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t n = 0; n < m_hashes.size(); ++n) {
        const std::uint64_t score = mix(m_hashes[n] ^ key);
        if (score > bestScore) {
            bestScore = score;
            best = n;
        }
    }
    return m_candidates.empty() ? nullptr : &m_candidates[best];
}

std::vector<MemberId> Rendezvous::ranked(std::uint64_t key, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    scores.reserve(m_hashes.size());
    for (std::size_t n = 0; n < m_hashes.size(); ++n)
        scores.emplace_back(~mix(m_hashes[n] ^ key), n);
    count = std::min(count, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count), scores.end());
    std::vector<MemberId> best;
    for (std::size_t n = 0; n < count; ++n)
        best.push_back(m_candidates[scores[n].second]);
    return best;
}

} // namespace dogwoodhall
