#pragma once

#include "dogwoodhall/core/Ids.h"

#include <cstdint>

namespace dogwoodhall {

// Summarises the records that a member has been offered. Two members with equal digests hold the same records.
struct ConfigurationDigest {
    Revision highest;
    // Independent of the order of arrival: the sum of a hash of each key's newest revision, modulo 2^64.
    std::uint64_t hash = 0;

    friend bool operator==(const ConfigurationDigest&, const ConfigurationDigest&) = default;
};

} // namespace dogwoodhall
