#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <optional>

namespace dogwoodhall {

enum class MemberState : std::uint8_t {
    Alive,
    Leaving, // Announced by the member itself; it finishes its work and takes on no new role.
    Suspect, // Another member cannot reach it, and it has not refuted that yet.
    Gone, // The suspicion was not refuted in time.
};

// A claim about one member as carried by gossip. Claims about the same member are ordered by incarnation, version and
// state; see supersedes().
struct Member {
    MemberId id;
    DataCentreId dataCentre;
    std::optional<RegionId> region;
    NetworkAddress peerAddress;
    // Zero for a member that is known from the host list only.
    Incarnation incarnation;
    // Incremented by the member itself when its state changes and to refute a suspicion. Starts over with each run.
    std::uint32_t version = 0;
    MemberState state = MemberState::Alive;
    bool isReady = false; // Holds a configuration and serves callers.
    bool canReadPlatform = true; // Its last read of the platform succeeded.
    ByteCount linkCapacityPerSecond {}; // Bandwidth of its host's link per second; zero if unknown.
    bool relaysRecords = false; // Forwards records as asked, and reads compressed lists of them.

    friend bool operator==(const Member&, const Member&) = default;
};

// Whether `claim` replaces `known`. A later run replaces an earlier one, a higher version set by the member itself
// replaces every claim with a lower one, and at equal versions a suspicion replaces the member's own claim.
bool supersedes(const Member& claim, const Member& known);

// Whether both are the same claim. One that a member of an earlier version has passed on lacks newer fields.
bool isSameClaim(const Member&, const Member&);

} // namespace dogwoodhall
