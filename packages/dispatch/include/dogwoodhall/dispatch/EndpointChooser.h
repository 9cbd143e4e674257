#pragma once

#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/dispatch/EndpointBook.h"
#include "dogwoodhall/dispatch/ServiceTimes.h"

#include <functional>
#include <optional>
#include <vector>

namespace dogwoodhall {

struct ChooserLimits {
    // Endpoints asked at once before a request is placed. Four find a calm one in 99 of 100 cases where a third of the
    // hosts are slowed.
    std::size_t mostAsked = 4;
    // Of the endpoints of a service at one distance, this member asks only so many, the same ones again and again, so
    // that connections to them stay open. Each member has its own, by `memberKey`.
    std::size_t subsetNear = 10; // In the own data centre.
    std::size_t subsetFar = 5;
    std::uint64_t memberKey = 0;
    // What a megabyte over a paid link costs, relative to an answer in time. An operator pays about as much for ten
    // previews that cross data centres as one late preview costs.
    double costPerMegabyteWithinRegion = 12;
    double costPerMegabyteBetweenRegions = 26;
    // Round trips beyond the own data centre, for the estimate of the time to the answer.
    Duration roundTripWithinRegion = std::chrono::milliseconds(3);
    Duration roundTripBetweenRegions = std::chrono::milliseconds(25);
    // An answer after its goal, relative to one in time.
    double lateValue = 0.1;
    // An older report counts only where no endpoint has a fresher one: hosts are slowed in spells of some 150 ms.
    Duration freshFor = std::chrono::milliseconds(60);
};

// What a placement needs to know of its request.
struct EndpointQuery {
    const RouteDeclaration* route = nullptr;
    const DirectoryService* service = nullptr;
    std::vector<EndpointId> tried;
    TimePoint goalAt; // An answer by then is in time.
    TimePoint limit; // No answer is of use after it.
};

// A suitable endpoint and what is expected of it.
struct EndpointChoice {
    EndpointId endpoint;
    NetworkAddress address;
    LoadReport load; // Before the request.
    Duration reportAge {};
    Duration expected {}; // Until its answer.
    double chance = 0; // That the answer is in time.
    double value = 0; // Chance in time, less the cost of the links.
    bool hasRoom = false; // A slot is free that is worth filling.
    bool isFresh = false; // By a report that is not older than ChooserLimits::freshFor.
};

// Chooses the endpoints to ask and, by what they answered, the one that serves a request best.
class EndpointChooser {
public:
    EndpointChooser(const EndpointBook& book, const ServiceTimes& times, ChooserLimits limits = {})
        : m_book(book)
        , m_times(times)
        , m_limits(limits)
    {
    }

    // Usable endpoints at this distance that the request has not tried, at most mostAsked, at random. Those that failed
    // often lately come last.
    std::vector<DirectoryEndpoint> toAsk(const EndpointQuery&, Distance, DecisionContext) const;

    // The best endpoint up to this distance, by the load that each reported last; one without any report counts by this
    // process's own requests. Empty where none is usable.
    std::optional<EndpointChoice> best(const EndpointQuery&, Distance farthest, TimePoint now) const;

    // Whether endpoints at this distance can be of more value than `choice`, cost of the links included.
    bool isWorthAsking(
        const EndpointQuery&, Distance, const std::optional<EndpointChoice>& choice, TimePoint now) const;

private:
    static bool isBetter(const EndpointChoice&, const EndpointChoice& than);
    void keepSubset(std::vector<DirectoryEndpoint>&, Distance) const;
    bool isCandidate(const EndpointQuery&, const DirectoryEndpoint&, TimePoint now) const;
    EndpointChoice judge(const EndpointQuery&, const DirectoryEndpoint&, TimePoint now) const;
    double linkCost(const EndpointQuery&, Distance) const;
    Duration roundTrip(Distance) const;
    double chanceInTime(Duration expected, Duration left) const;

    const EndpointBook& m_book;
    const ServiceTimes& m_times;
    ChooserLimits m_limits;
};

} // namespace dogwoodhall
