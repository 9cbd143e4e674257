#pragma once

#include "dogwoodhall/core/Ids.h"

#include <cstdint>

namespace dogwoodhall {

// Digest of the records that a member has been offered. Two members with equal digests hold the same records.
struct ConfigurationDigest {
    Revision highest;
    // Sum, modulo 2^64, of a hash of each key's revision in force and of its newer, rejected revision if there is one.
    // Independent of the order of arrival.
    std::uint64_t hash = 0;

    friend bool operator==(const ConfigurationDigest&, const ConfigurationDigest&) = default;
};

} // namespace dogwoodhall
