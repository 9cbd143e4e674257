#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/GossipMessage.h"
#include "dogwoodhall/wire/RecordCompressor.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dogwoodhall {

// One record of the maximum size plus space for the rest of the message.
inline constexpr ByteCount maxGossipBytes { maxRecordValueBytes.count() + 64 * 1024 };
// Entries per list in a message. Limits the memory that a small message can make the receiver allocate.
inline constexpr std::size_t maxGossipEntries = 4096;
// Maximum size of ids, keys and addresses.
inline constexpr ByteCount maxNameBytes { 1024 };

// Large values are compressed; `compressor` caches the results between calls.
std::string encode(const GossipMessage&, RecordCompressor& compressor);
std::string encode(const GossipMessage&);

// Decodes a message of this or another version: ignores unknown fields and claims about members in an unknown state.
// The error names the first part that is missing, malformed or above a limit. The revisions of a sender that knows no
// eras of the store are taken to be of `assumedEra`.
tl::expected<GossipMessage, std::string> decode(std::string_view bytes, Era assumedEra = Era());

} // namespace dogwoodhall
