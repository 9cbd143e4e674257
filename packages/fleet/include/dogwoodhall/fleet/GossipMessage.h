#pragma once

#include "dogwoodhall/configuration/ConfigurationDigest.h"
#include "dogwoodhall/configuration/Record.h"
#include "dogwoodhall/core/Units.h"
#include "dogwoodhall/fleet/Member.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dogwoodhall {

// Load of a pool as measured by its home.
struct PoolLoadSummary {
    PoolId pool;
    Duration expectedWait {};
    SlotCount freeSlots;
    Duration age {}; // Time from the measurement at the home until the message was built.

    friend bool operator==(const PoolLoadSummary&, const PoolLoadSummary&) = default;
};

// One half of an exchange between two members. Request and reply have the same fields.
struct GossipMessage {
    enum class Kind : std::uint8_t { Request, Reply };

    Kind kind = Kind::Request;
    Member sender; // The sender's claim about itself.
    ConfigurationDigest configuration;
    // Hashes of the members that may be homes, in the sender's data centre and in the whole fleet. Zero if the sender
    // has not confirmed all of them since it started or resumed from a pause. Equal hashes confirm all of them at once.
    std::uint64_t dataCentreRoster = 0;
    std::uint64_t fleetRoster = 0;
    // In a request from a member whose roster differs: the last candidate that it received. The reply continues from
    // there. Empty if the replying member may choose the position.
    MemberId rosterAfter;
    std::vector<Member> members; // At most FleetLimits::maxMemberUpdates.
    std::vector<PoolLoadSummary> poolLoads; // At most FleetLimits::maxPoolLoads.
    // Records above `recordsAfter` in ascending order of revision, without gaps. Bounded by
    // FleetLimits::maxRecordBytes, but at least one if the receiver is behind. In a reply to a member with a different
    // hash that needs no sequence: records in force for keys whose newest record was rejected; see Fleet::addRepair().
    std::vector<Record> records;
    // A receiver whose highest revision is lower ignores the records, because it would miss those in between without
    // noticing. Empty if the records are not a sequence.
    std::optional<Revision> recordsAfter;
    // In a request with records: members of the receiver's data centre to which it forwards the records. It
    // may not know them yet.
    std::vector<Member> relayTo;
    // In a reply: the sender's records included every change that the store had acknowledged so long before. Empty if
    // that was never confirmed.
    std::optional<Duration> confirmedAge;
    // The receiver reads compressed lists of records. Not sent.
    bool compressesRecords = false;

    friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

// Estimated encoded size without transport framing: two bytes of tag and length per field, eight bytes per incarnation
// or hash, four per other number, and the length of each string.
ByteCount estimatedSize(const Member&);
ByteCount estimatedSize(const PoolLoadSummary&);
ByteCount estimatedSize(const Record&);
ByteCount estimatedSize(const GossipMessage&);

} // namespace dogwoodhall
