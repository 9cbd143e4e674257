#pragma once

#include "dogwoodhall/configuration/ConfigurationDigest.h"
#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/Member.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dogwoodhall {

// How busy a pool is, as its home knows it.
struct PoolLoadSummary {
    PoolId pool;
    Duration expectedWait {};
    SlotCount freeSlots;
    Duration age {}; // Since the home measured it, when the message was built.

    friend bool operator==(const PoolLoadSummary&, const PoolLoadSummary&) = default;
};

// One half of an exchange between two members. Request and reply have the same fields.
struct GossipMessage {
    enum class Kind : std::uint8_t { Request, Reply };

    Kind kind = Kind::Request;
    Member sender; // The sender's word about itself.
    ConfigurationDigest configuration;
    // Hashes of the members that may be homes, in the sender's data centre and in all. Zero where the sender has not
    // heard of all of them since it started or woke from a pause. Equal hashes vouch for all of them at once.
    std::uint64_t dataCentreRoster = 0;
    std::uint64_t fleetRoster = 0;
    // In a request from a member whose view of the candidates differs: the last one that it was sent. The reply goes on
    // from there. Empty where the replying member may choose.
    MemberId rosterAfter;
    std::vector<Member> members; // At most FleetLimits::maxMemberUpdates.
    std::vector<PoolLoadSummary> poolLoads; // At most FleetLimits::maxPoolLoads.
    // Records above `recordsAfter`, from the lowest revision upwards, without gaps. Bounded by
    // FleetLimits::maxRecordBytes, but at least one where the receiver is behind. In a reply to a member with the same
    // highest revision and another hash: records in force of keys whose newest record is rejected.
    std::vector<Record> records;
    // A receiver whose highest revision is lower does not take the records: it would lack those between without
    // noticing. Empty where the records are in no sequence.
    std::optional<Revision> recordsAfter;

    friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

// An estimate of the bytes that the message takes encoded, without the transport's framing: two bytes of tag and length
// for each field, eight bytes for an incarnation or hash, four for other numbers, and the length of each text.
ByteCount estimatedSize(const Member&);
ByteCount estimatedSize(const PoolLoadSummary&);
ByteCount estimatedSize(const Record&);
ByteCount estimatedSize(const GossipMessage&);

} // namespace dogwoodhall
