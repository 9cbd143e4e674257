#pragma once

#include "dogwoodhall/fleet/GossipMessage.h"

#include <array>
#include <cstddef>

namespace dogwoodhall {

enum class GossipContent : std::uint8_t { Records, Members, PoolLoads, Rest };
inline constexpr std::size_t gossipContentCount = 4;

// Of two members.
enum class MemberDistance : std::uint8_t { DataCentre, Region, OtherRegion };
inline constexpr std::size_t memberDistanceCount = 3;

// How the encoded size of a message divides among its contents, by their estimated sizes. The records take what the
// others leave, since they may be compressed.
std::array<ByteCount, gossipContentCount> sizesByContent(const GossipMessage&, ByteCount encoded);

} // namespace dogwoodhall
