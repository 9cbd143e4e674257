#pragma once

#include "dogwoodhall/budget/RetryAllowance.h"
#include "dogwoodhall/budget/TokenBucket.h"
#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/dispatch/PlacementExplanation.h"
#include "dogwoodhall/dispatch/RefusalPolicy.h"
#include "dogwoodhall/dispatch/RequestPlan.h"
#include "dogwoodhall/dispatch/SpillController.h"
#include "dogwoodhall/dispatch/StopSchedule.h"
#include "dogwoodhall/dispatch/WeightedRoundRobin.h"

#include <map>
#include <optional>
#include <tl/expected.hpp>
#include <unordered_map>

namespace dogwoodhall {

struct DispatchLimits {
    ChooserLimits chooser;
    RetryLimits retries; // Shared by all members.
    WarmUpLimits warmUp; // Likewise.
    // Probes per endpoint and second, summed over all members. The share of this thread follows from the number of
    // members and endpoints.
    double probesPerEndpointAndSecond = 10;
    std::size_t trafficThreads = 1; // Traffic threads of this process; they split its budgets evenly.
    // Time to wait for probe responses. A busy entry host needs several milliseconds to read them.
    Duration probeTimeoutSameDataCentre = std::chrono::milliseconds(12);
    Duration probeTimeoutSameRegion = std::chrono::milliseconds(16);
    // Two round trips of 24 ms between regions, one of them to open a connection.
    Duration probeTimeoutOtherRegion = std::chrono::milliseconds(60);
    // Share of the latency goal after which an unanswered idempotent request is hedged. A later hedge cannot be
    // answered in time; an earlier one duplicates too many requests that would have been answered anyway.
    double hedgeDelayShareOfGoal = 0.55;
    // Endpoints further away are probed too unless an endpoint reaches this probability of answering in time.
    double sufficientChance = 0.8;
    // Minimum probability of answering in time. Below it a request that a later attempt could still meet the goal for
    // is refused with a retry time, because it would hold a slot for a late response.
    double minChance = 0.3;
    RetryAfterPolicy retryAfter = jitterWithinGoal;
    // Decides by each service's room at each distance which endpoints are probed. If empty, each request probes the
    // own data centre, then the region, then other regions.
    std::optional<SpillControllerLimits> spill;
};

// Makes the decisions for the requests of one traffic thread: which endpoints to probe, where to send a request, and
// whether to retry, hedge or refuse it. Receives events with their time and returns the next action of a request;
// performs no I/O.
class Dispatcher {
public:
    explicit Dispatcher(DispatchLimits);
    // m_eligibility and m_chooser hold references to other members.
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    // A default FleetView stands for a fleet of this member alone.
    void apply(std::shared_ptr<const Directory>, const FleetView&, TimePoint now);
    // Limits the requests that are admitted from now on to what can be answered before the process ends.
    void stop(const StopSchedule& schedule) { m_stop = schedule; }
    bool hasDirectory() const { return m_directory != nullptr; }

    // Starts the plan of a request that arrived. `timeLeft` is the caller's remaining time, if stated.
    tl::expected<RequestPlan, ErrorKind> admit(const RouteQuery&, std::optional<Duration> timeLeft, TimePoint now);
    // Returns where a request that arrived now would go, by what is known, without sending it. Changes nothing: takes
    // no probe, no budget and no place in a traffic split.
    PlacementExplanation explain(const RouteQuery&, std::optional<Duration> timeLeft, TimePoint now) const;
    // Call when the body is too large to be buffered for another attempt.
    void setBodyCannotBeReplayed(RequestPlan& plan) const { plan.m_bodyCanBeReplayed = false; }
    RequestAction next(RequestPlan&, DecisionContext);

    // Call when a hedge is due. prepareHedge() returns the endpoints to probe first, hedge() the endpoint to hedge to;
    // each returns nullopt if no hedge should be sent.
    std::optional<ProbeEndpoints> prepareHedge(RequestPlan&, DecisionContext);
    std::optional<SendRequest> hedge(RequestPlan&, DecisionContext);
    // Call when hedge() has returned nullopt. Returns how long to wait before calling it again, because no probed
    // endpoint has responded and one may still be in time; nullopt if the hedge should be given up. No more probes are
    // sent: an endpoint that responds later than its report is used would not answer in time either.
    std::optional<Duration> hedgeRetryDelay(const RequestPlan&, TimePoint now) const;

    // Call just before the request or its hedge is sent. Returns true if written() must be called, which it need not be
    // for services without a limit for cold endpoints.
    bool sent(RequestPlan&, const SendRequest&, TimePoint now);
    // Call when the request has been written to a connection, or when its attempt has ended before. `sentAt` is the
    // time that was passed to sent().
    void written(const SendRequest&, TimePoint sentAt, TimePoint now);
    // Call when the endpoint's own response is relayed.
    void answered(const RequestPlan&, const SendRequest&, EndpointEvidence, ByteCount answerBytes, TimePoint sentAt,
        TimePoint now);
    // Call when a hedge was answered first. The time since sending is a lower bound of this endpoint's service time.
    void lostToHedge(const RequestPlan&, const SendRequest&, TimePoint sentAt, TimePoint now);
    void failed(RequestPlan&, const SendRequest&, EndpointEvidence, SendFailure, TimePoint sentAt, TimePoint now);
    // Returns whether a server error from the endpoint may be replaced by a retry.
    bool mayRepeatServerError(RequestPlan&, TimePoint now);

    // Null unless DispatchLimits::spill is set.
    SpillController* spill() { return m_spill ? &*m_spill : nullptr; }
    EndpointTracker& endpoints() { return m_tracker; }
    double retriesLeft(TimePoint now);
    // Zero for a service that no request has been admitted for.
    RetryAllowance::Balance retryBalance(const ServiceId&, TimePoint now) const;
    // How the slack of the retry limit is divided.
    const SlackShare& retryShare() const { return m_retryShare; }

private:
    // What placing a request reads of the endpoints, and what it changes besides its plan. explain() passes copies.
    struct PlacementState {
        const EndpointTracker& tracker;
        const EndpointEligibility& eligibility;
        const EndpointChooser& chooser;
        TokenBucket<CallCount>& probeBudget;
        SpillController* spill; // Null unless DispatchLimits::spill is set.
    };

    tl::expected<RequestPlan, ErrorKind> makePlan(
        const RouteDeclaration&, const DirectoryService&, std::optional<Duration> timeLeft, TimePoint now) const;
    void followLatestRoute(RequestPlan&) const;
    PlacementState placementState() { return { m_tracker, m_eligibility, m_chooser, *m_probeBudget, spill() }; }
    RequestAction place(RequestPlan&, const PlacementState&, DecisionContext) const;
    RequestAction placeBySpill(RequestPlan&, const PlacementState&, DecisionContext) const;
    RequestAction decide(RequestPlan&, std::optional<EndpointChoice>, const PlacementState&, DecisionContext) const;
    std::optional<ProbeEndpoints> probeRound(
        RequestPlan&, const std::optional<EndpointChoice>&, const PlacementState&, DecisionContext) const;
    void explainEndpoints(const RequestPlan&, PlacementExplanation&, TimePoint now) const;
    void explainPlacement(RequestPlan&, PlacementExplanation&, TimePoint now) const;
    enum class SpillScope : std::uint8_t { Home, AllDistances };
    SpillQuery spillQuery(const RequestPlan&, const std::optional<EndpointChoice>&, SpillScope, const PlacementState&,
        TimePoint now) const;
    Distance farthestWorthUsing(const RequestPlan&, const PlacementState&, TimePoint now) const;
    void recordProbedRoom(RequestPlan&, const PlacementState&, TimePoint now) const;
    bool isSuitable(const std::optional<EndpointChoice>&) const;
    ProbeCandidates unprobed(const RequestPlan&, Distance, const PlacementState&, TimePoint now) const;
    std::optional<ProbeEndpoints> probeEndpoints(RequestPlan&, Distance, const PlacementState&, DecisionContext) const;
    std::optional<RefuseRequest> refuseAfterFailure(RequestPlan&, DecisionContext);
    RefuseRequest refuse(const RequestPlan&, ErrorKind, DecisionContext, std::optional<EndpointChoice> best = {}) const;
    std::optional<Duration> retryAfter(const RequestPlan&, DecisionContext) const;
    Duration expectedWhenIdle(const RequestPlan&) const;
    bool mayRepeat(const RequestPlan&, TimePoint now) const;
    Duration probeTimeout(Distance) const;
    SendRequest send(const RequestPlan&, EndpointChoice, TimePoint now) const;
    void updateProbeRate(TimePoint now);
    RetryAllowance& retriesOf(const ServiceId&);
    // Returns false if the request must not be taken.
    bool applyStop(RequestPlan&, TimePoint now) const;
    Duration elapsedAtCaller(const RouteDeclaration&, std::optional<Duration> timeLeft) const;

    DispatchLimits m_limits;
    std::optional<StopSchedule> m_stop; // While the process is stopping.
    std::shared_ptr<const Directory> m_directory;
    std::size_t m_members
        = 1; // That may be alive. The probe rate is divided by it: its limit is an average over hours.
    SlackShare m_retryShare;
    EndpointTracker m_tracker;
    WarmUpLimiter m_warmUp;
    EndpointEligibility m_eligibility;
    ServiceTimes m_times;
    EndpointChooser m_chooser;
    std::optional<SpillController> m_spill;
    WeightedRoundRobin m_trafficSplit;
    std::optional<TokenBucket<CallCount>> m_probeBudget; // Unset until the first directory is applied.
    std::map<ServiceId, RetryAllowance> m_retries;
    // Longest remaining time stated by callers of each route, taken as the time stated on a first attempt.
    std::unordered_map<RouteId, Duration> m_maxTimeLeft;
};

} // namespace dogwoodhall
