#pragma once

#include "dogwoodhall/fleet/GossipMessage.h"

#include <optional>
#include <variant>
#include <vector>

namespace dogwoodhall {

// Send messageFor(member) to the member, then pass its reply to handle() or call exchangeFailed().
struct Exchange {
    MemberId member;
    NetworkAddress address;

    friend bool operator==(const Exchange&, const Exchange&) = default;
};

// Offer these records to the configuration in force, in this order.
struct OfferRecords {
    MemberId from;
    std::vector<Record> records;
    std::optional<Revision> senderHighest {}; // Of a sequence of records, which may go on after these.

    friend bool operator==(const OfferRecords&, const OfferRecords&) = default;
};

// Record the loads of pools whose home is another member.
struct ObservePoolLoads {
    MemberId from;
    std::vector<PoolLoadSummary> loads;

    friend bool operator==(const ObservePoolLoads&, const ObservePoolLoads&) = default;
};

// Homes or watchers may have changed and must be published again.
struct MembersChanged {
    friend bool operator==(const MembersChanged&, const MembersChanged&) = default;
};

// The process was paused for `gap`; state from before the pause must not be acted on.
struct StateExpired {
    Duration gap {};

    friend bool operator==(const StateExpired&, const StateExpired&) = default;
};

using FleetAction = std::variant<Exchange, OfferRecords, ObservePoolLoads, MembersChanged, StateExpired>;

struct HandledGossip {
    std::optional<GossipMessage> reply; // Present for a request.
    std::vector<FleetAction> actions;
};

} // namespace dogwoodhall
