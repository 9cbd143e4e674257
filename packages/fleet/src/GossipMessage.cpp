#include "dogwoodhall/fleet/GossipMessage.h"

#include "dogwoodhall/fleet/GossipContent.h"

#include <algorithm>

namespace dogwoodhall {

namespace {

constexpr std::uint64_t fieldBytes = 2; // Tag and length.
constexpr std::uint64_t wideBytes = fieldBytes + 8;
constexpr std::uint64_t numberBytes = fieldBytes + 4;

std::uint64_t textBytes(const std::string& text) { return fieldBytes + text.size(); }

template <typename Items> ByteCount sizeOfAll(const Items& items)
{
    ByteCount size;
    for (const auto& item : items)
        size += estimatedSize(item) + ByteCount(fieldBytes);
    return size;
}

} // namespace

ByteCount estimatedSize(const Member& member)
{
    const std::uint64_t region = member.region ? textBytes(member.region->value()) : 0;
    return ByteCount(textBytes(member.id.value()) + textBytes(member.dataCentre.value()) + region
        + textBytes(toString(member.peerAddress)) + numberBytes + wideBytes + numberBytes + 2 * fieldBytes);
}

ByteCount estimatedSize(const PoolLoadSummary& load)
{
    return ByteCount(textBytes(load.pool.service.value()) + textBytes(load.pool.dataCentre.value()) + 3 * numberBytes);
}

ByteCount estimatedSize(const Record& record)
{
    return ByteCount(textBytes(record.key.value()) + wideBytes + fieldBytes + textBytes(record.value));
}

ByteCount estimatedSize(const GossipMessage& message)
{
    const std::uint64_t cursor = message.rosterAfter == MemberId() ? 0 : textBytes(message.rosterAfter.value());
    return ByteCount(fieldBytes + cursor) + estimatedSize(message.sender) + ByteCount(4 * wideBytes)
        + sizeOfAll(message.relayTo) + sizeOfAll(message.members) + sizeOfAll(message.poolLoads)
        + sizeOfAll(message.records);
}

std::array<ByteCount, gossipContentCount> sizesByContent(const GossipMessage& message, ByteCount encoded)
{
    const ByteCount members = std::min(encoded, sizeOfAll(message.members) + sizeOfAll(message.relayTo));
    const ByteCount loads = std::min(encoded - members, sizeOfAll(message.poolLoads));
    ByteCount rest = encoded - members - loads;
    ByteCount records;
    if (!message.records.empty()) {
        GossipMessage head;
        head.sender = message.sender;
        const ByteCount headSize = std::min(rest, estimatedSize(head));
        records = rest - headSize;
        rest = headSize;
    }
    return { records, members, loads, rest };
}

} // namespace dogwoodhall
