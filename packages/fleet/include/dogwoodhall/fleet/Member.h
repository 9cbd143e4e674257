#pragma once

#include "dogwoodhall/core/Ids.h"
#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/core/Units.h"

#include <cstdint>
#include <optional>

namespace dogwoodhall {

enum class MemberState : std::uint8_t {
    Alive,
    Leaving, // Announced by the member itself; it finishes its work and takes no new role.
    Suspect, // Another member cannot reach it, and it has not yet refuted that.
    Gone, // A suspicion that was not refuted in time.
};

// A claim about one member, as gossip carries it. Claims about one member are ordered by incarnation, version and
// state; see supersedes().
struct Member {
    MemberId id;
    DataCentreId dataCentre;
    std::optional<RegionId> region;
    NetworkAddress peerAddress;
    // Zero for a member that only the host list has named.
    Incarnation incarnation;
    // Raised by the member itself at each change of its own state and to refute a suspicion. Restarts with each run.
    std::uint32_t version = 0;
    MemberState state = MemberState::Alive;
    bool isReady = false; // Holds a configuration and serves callers.
    bool canReadPlatform = true; // Its last read of the platform succeeded.
    ByteCount linkPerSecond {}; // What its host's link carries; zero where it is not known.

    friend bool operator==(const Member&, const Member&) = default;
};

// True where `claim` replaces `known`. A later run replaces an earlier one, a member's newer word about itself replaces
// every claim about its older one, and at one version a suspicion replaces the member's own word.
bool supersedes(const Member& claim, const Member& known);

} // namespace dogwoodhall
