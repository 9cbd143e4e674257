#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/dispatch/Directory.h"

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace dogwoodhall {

// Values and costs are relative to the value of a response in time.
struct SpillControllerLimits {
    Duration evidenceHalfLife = std::chrono::milliseconds(700); // Demand moves by a tenth in this time.
    // Share of endpoints with room where nothing is known, and its weight in probe responses.
    double priorRoomShare = 0.4;
    double priorWeight = 2;
    double priorAnswers = 10; // Weight of the assumption that responses are in time, in responses.
    double probeCost = 0.004; // Processor time and the platform's price of a probe, links apart.
    double scarceBelow = 0.5; // Share of the probe budget below which a request's first probes go where they gain most.
    double scarceProbeCost = 0.04; // Added while the probe budget is empty, less while it is partly used.
    // Cost of taking a slot elsewhere that callers there would have needed. Half of them are served after a refusal.
    double displacementCost = 0.5;
    // A caller that came back after a refusal and is refused again costs this besides the value of its response.
    double repeatRefusalCost = 0.3;
    double minGain = 0.01; // Of a round of probes. Smaller gains are within the error of the estimates.
    // Requests begin to leave at once above the first probability that a round of probes finds the own data centre
    // full, and stop below the second.
    double beginAtFullShare = 0.6;
    double endAtFullShare = 0.25;
    double beginAtWeight = 6; // Probe responses that are needed before requests begin to leave.
    Duration minTimeBetweenChanges = std::chrono::milliseconds(500);
    double maxLeavingShare = 0.9; // The rest probes the own data centre as usual and notices returning room.
};

// What a request would find at one distance.
struct SpillOffer {
    std::size_t candidates = 0; // Eligible endpoints that have not been probed for this request.
    double value = 0; // Of the response of an idle endpoint, less the cost of its bytes.
    double probeBytesCost = 0; // Of the bytes of one probe.
};

// One request that looks for an endpoint.
struct SpillQuery {
    ServiceId service;
    std::array<SpillOffer, distanceCount> offers; // Indexed by Distance.
    double valueAtHand = 0; // Of the best endpoint with room that is known; 0 if none.
    double probesLeft = 1; // Share of the probe budget.
    bool isRepeat = false; // The caller has been refused before.
    bool isFirstRound = true;
    // Nearest distance with eligible endpoints: not the own data centre if that is evacuated or not allowed.
    Distance home = Distance::SameDataCentre;
    std::size_t maxProbed = 4; // In one round.
};

// Probe this many endpoints at this distance next.
struct SpillRound {
    Distance distance;
    std::size_t count;
};

enum class SpillReason : std::uint8_t {
    OwnDataCentreFull, // Began.
    RoomReturned, // Ended: the own data centre has room.
    DestinationFull, // Ended: no more room there than in the own data centre.
};

std::string_view toString(SpillReason);

// Requests of a service began or stopped to leave the own data centre at once.
struct SpillChange {
    ServiceId service;
    Distance direction;
    bool isLeaving;
    SpillReason reason;
    double ownFullShare;
    double destinationFullShare;
};

// Decides where a request looks for an endpoint next, and when to stop looking: in the own data centre, in the region
// or in other regions. Knows each service's room at each distance from probe responses, refusals and late responses
// that this process has seen. Owned by one traffic thread; performs no I/O.
class SpillController {
public:
    explicit SpillController(SpillControllerLimits limits = {})
        : m_limits(limits)
    {
    }

    // Returns a controller with what this one knows of the service.
    SpillController copyFor(const ServiceId&) const;

    // Forgets services that are not in the directory.
    void apply(const Directory&);

    // Records whether a probed endpoint had room, or that an endpoint refused a request.
    void recordRoom(const ServiceId&, Distance, bool hasRoom, TimePoint now);
    void recordAnswer(const ServiceId&, Distance, bool isInTime, TimePoint now);

    // Returns whether the first round of every request of the service is at its nearest distance; the query then needs
    // no farther offers.
    bool startsAtHome(const ServiceId&, double probesLeft) const;
    // Updates the directions in which requests leave at once. Call before nextRound().
    void update(const SpillQuery&, TimePoint now);
    // Returns the round of probes with the highest gain, or nullopt if none is worth its cost.
    std::optional<SpillRound> nextRound(const SpillQuery&, DecisionContext) const;

    // Probability that a round of four probes finds no room.
    double fullShare(const ServiceId&, Distance, TimePoint now) const;
    // Share of the service's requests that do not probe the own data centre as usual before they leave it.
    double leavingShare(const ServiceId&, Distance direction, TimePoint now) const;
    // The largest share of any service.
    double maxLeavingShare(Distance direction, TimePoint now) const;
    // Ends the leaving of services without requests, and returns the changes since the last call, oldest first.
    std::vector<SpillChange> takeChanges(TimePoint now);

private:
    // Share of positive samples whose weight decays.
    struct Evidence {
        double positive = 0;
        double total = 0;
        TimePoint at;
    };
    struct Direction {
        Evidence room;
        Evidence inTime;
        bool isLeaving = false;
        TimePoint changedAt;
    };
    using Directions = std::array<Direction, distanceCount>;

    const Directions* find(const ServiceId&) const;
    double decay(const Evidence&, TimePoint now) const;
    void add(Evidence&, bool isPositive, TimePoint now) const;
    double shareOf(const Evidence&, double prior, double priorWeight, TimePoint now) const;
    double roomShare(const Directions&, Distance, TimePoint now) const;
    double fullShare(const Directions&, Distance, TimePoint now) const;
    // Of a slot with room, with the displacement of callers there.
    double netValue(const SpillQuery&, const Directions&, Distance, TimePoint now) const;
    double probeCost(const SpillQuery&, Distance) const;
    double gain(const SpillQuery&, const Directions&, SpillRound, TimePoint now) const;
    std::pair<SpillRound, double> bestRound(const SpillQuery&, const Directions&, Distance, TimePoint now) const;
    std::optional<SpillRound> firstRound(const SpillQuery&, const Directions&, DecisionContext) const;
    std::optional<SpillReason> endReason(const Directions&, Distance, TimePoint now) const;
    void change(const ServiceId&, Directions&, Distance, bool isLeaving, SpillReason, TimePoint now);

    SpillControllerLimits m_limits;
    std::map<ServiceId, Directions> m_services;
    std::vector<SpillChange> m_changes;
};

} // namespace dogwoodhall
