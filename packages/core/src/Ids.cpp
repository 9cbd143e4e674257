#include "dogwoodhall/core/Ids.h"

namespace dogwoodhall {

namespace {

constexpr std::uint64_t fnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

} // namespace

std::string toString(const PoolId& id) { return id.service.value() + "@" + id.dataCentre.value(); }

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = fnvOffsetBasis ^ seed;
    for (unsigned char c : text) {
        hash ^= c;
        hash *= fnvPrime;
    }
    // FNV-1a alone mixes the high bits of short keys poorly, which skews rendezvous hashing.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace dogwoodhall
