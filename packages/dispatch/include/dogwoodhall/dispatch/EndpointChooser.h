#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/dispatch/EndpointEligibility.h"
#include "dogwoodhall/dispatch/EndpointTracker.h"
#include "dogwoodhall/dispatch/ServiceTimes.h"

#include <functional>
#include <optional>
#include <vector>

namespace dogwoodhall {

struct ChooserLimits {
    // Number of endpoints probed in parallel before a request is placed. With four, at least one is lightly loaded in
    // 99 of 100 cases when a third of the hosts are slowed.
    std::size_t maxProbed = 4;
    // Subsetting: of a service's endpoints at one distance, this member probes a fixed subset of this size, so that its
    // connections to them stay open. `memberKey` selects the subset and differs between members.
    std::size_t subsetSizeNearest = 10; // At the nearest distance with an eligible endpoint.
    std::size_t subsetSizeRemote = 5; // Further away.
    std::uint64_t memberKey = 0;
    // Cost of a megabyte over a paid link, relative to the value of a response in time. Operators pay about as much for
    // ten previews that cross data centres as one late preview costs, and several times that between regions.
    double costPerMegabyteWithinRegion = 12;
    double costPerMegabyteBetweenRegions = 100;
    // What crosses the link for one request besides the body of its answer, and for one probe: heads and packet
    // headers, in both directions.
    ByteCount requestOverhead { 1500 };
    ByteCount probeOverhead { 500 };
    // Round trip times beyond the local data centre, used to estimate the response time.
    Duration roundTripWithinRegion = std::chrono::milliseconds(3);
    Duration roundTripBetweenRegions = std::chrono::milliseconds(25);
    // Value of a response after its goal, relative to one in time.
    double lateAnswerValue = 0.1;
    // Older reports are used only if no endpoint has a more recent one: hosts are slowed for periods of about 150 ms.
    Duration maxReportAge = std::chrono::milliseconds(60);
    // Minimum probability of answering in time at which a cold endpoint that is due for work is preferred to warm ones.
    double minChanceForWarmUp = 0.4;
};

// A candidate endpoint with its estimates.
struct EndpointChoice {
    EndpointId endpoint;
    Incarnation incarnation;
    NetworkAddress address;
    LoadReport load; // Without this request.
    Duration reportAge {};
    Duration expected {}; // Time until its response.
    double chance = 0; // Probability that the response is in time.
    double value = 0; // Expected value of the response, less the cost of the links.
    Distance distance = Distance::SameDataCentre;
    bool hasRoom = false; // A slot is free whose use increases throughput.
    bool isFresh = false; // The report is not older than ChooserLimits::maxReportAge.
    bool isCold = false;
    bool isDueForWarmUp = false; // It is cold, has room, and should get this request before warm ones.
};

// Endpoints at one distance that a round of probes selects from.
struct ProbeCandidates {
    // Cold endpoints that should get work. Outside the member's subset too, because only a few members may send to a
    // cold endpoint.
    std::vector<DirectoryEndpoint> due;
    std::vector<DirectoryEndpoint> usual;
};

enum class LinkCosts : std::uint8_t { Counted, Ignored };

// Selects the endpoints to probe and, from their reports, the best endpoint for a request.
class EndpointChooser {
public:
    // The references must outlive the object.
    EndpointChooser(const EndpointTracker& tracker, const EndpointEligibility& eligibility, const ServiceTimes& times,
        ChooserLimits limits = {})
        : m_tracker(tracker)
        , m_eligibility(eligibility)
        , m_times(times)
        , m_limits(limits)
    {
    }

    // Returns up to maxProbed random eligible endpoints at this distance. Endpoints with a high failure share are
    // selected last.
    std::vector<DirectoryEndpoint> selectForProbing(const EndpointQuery&, Distance, DecisionContext) const;

    // Returns the eligible endpoints at this distance that this member probes.
    ProbeCandidates subset(const EndpointQuery&, Distance, TimePoint now) const;
    // Returns their number.
    std::size_t subsetSize(const EndpointQuery&, Distance, TimePoint now) const;
    // Returns up to `count` random endpoints of these, those with a high failure share last.
    std::vector<DirectoryEndpoint> pick(ProbeCandidates, std::size_t count, DecisionContext) const;

    // Returns the best endpoint up to this distance by its last reported load, or by this process's own requests if it
    // has not reported any. Empty if none is eligible.
    std::optional<EndpointChoice> best(const EndpointQuery&, Distance farthest, TimePoint now) const;

    // Returns the estimates for an eligible endpoint.
    EndpointChoice judge(const EndpointQuery&, const DirectoryEndpoint&, TimePoint now) const;

    // Returns whether endpoints at this distance may have a higher value than `choice`, including the cost of the
    // links.
    bool isWorthProbing(
        const EndpointQuery&, Distance, const std::optional<EndpointChoice>& choice, TimePoint now) const;

    // Value of a response by an idle endpoint at this distance after one round of probes, less the cost of its bytes if
    // that counts.
    double valueWhenIdle(const EndpointQuery&, Distance, LinkCosts, TimePoint now) const;
    // Cost of the bytes of one probe.
    double probeBytesCost(Distance distance) const { return linkCost(m_limits.probeOverhead, distance); }
    std::size_t maxProbed() const { return m_limits.maxProbed; }

private:
    bool isBetter(const EndpointChoice&, const EndpointChoice& than) const;
    std::uint64_t subsetRank(const EndpointId&) const;
    // Calls the visitor for the eligible endpoints at this distance. Returns the size of the subset of those that are
    // not due for warm-up.
    template <typename Visitor>
    std::size_t visitEligible(const EndpointQuery&, Distance, TimePoint now, const Visitor&) const;
    void reduceToSubset(std::vector<DirectoryEndpoint>&, std::size_t size) const;
    Duration expectedAfterProbe(const EndpointQuery&, Distance) const;
    double linkCost(ByteCount, Distance) const;
    ByteCount requestBytes(const EndpointQuery&) const;
    Duration roundTrip(Distance) const;
    double chanceInTime(Duration expected, Duration left) const;

    const EndpointTracker& m_tracker;
    const EndpointEligibility& m_eligibility;
    const ServiceTimes& m_times;
    ChooserLimits m_limits;
};

} // namespace dogwoodhall
