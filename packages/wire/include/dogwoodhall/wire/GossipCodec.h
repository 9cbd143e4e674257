#pragma once

#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/GossipMessage.h"
#include "dogwoodhall/wire/RecordCompressor.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dogwoodhall {

// The configuration service holds values of up to 1 MB.
inline constexpr ByteCount maxRecordValueBytes { 1024 * 1024 };
// One record of the largest size, with room for the rest of the message.
inline constexpr ByteCount maxGossipBytes { 1024 * 1024 + 64 * 1024 };
// Entries of each list in a message. Bounds what a small message can make the receiver allocate.
inline constexpr std::size_t maxGossipEntries = 4096;
// Ids, keys and addresses.
inline constexpr ByteCount maxNameBytes { 1024 };

// Large values are compressed, through `compressor` where there is one.
std::string encode(const GossipMessage&, RecordCompressor& compressor);
std::string encode(const GossipMessage&);

// Reads a message of this or another version: unknown fields are ignored, and so are claims about members whose state
// is not known here. The error names the first part that is missing, malformed or above a limit.
tl::expected<GossipMessage, std::string> decode(std::string_view bytes);

} // namespace dogwoodhall
