#pragma once

#include "dogwoodhall/budget/RetryAllowance.h"
#include "dogwoodhall/budget/TokenBucket.h"
#include "dogwoodhall/core/DecisionContext.h"
#include "dogwoodhall/dispatch/RefusalPolicy.h"
#include "dogwoodhall/dispatch/RequestPlan.h"
#include "dogwoodhall/dispatch/SplitTurns.h"

#include <map>
#include <tl/expected.hpp>
#include <unordered_map>

namespace dogwoodhall {

struct DispatchLimits {
    ChooserLimits chooser;
    RetryLimits retries; // Of all members together.
    // Health calls to an endpoint by all members together. This thread's share depends on the members and endpoints.
    double asksPerEndpointAndSecond = 10;
    std::size_t trafficThreads = 1; // Of this process, which share in the budgets.
    // How long answers to health calls are waited for. A busy entry host needs milliseconds to read them.
    Duration patienceNear = std::chrono::milliseconds(12); // Own data centre.
    Duration patienceInRegion = std::chrono::milliseconds(16);
    Duration patienceFar = std::chrono::milliseconds(45); // A round trip of 24 ms and the same again.
    // Part of the time to the goal after which a copy of an unanswered idempotent request is sent. Later, the copy
    // cannot be answered in time any more; earlier, too many requests are copied that need not be.
    double copyAfterPartOfGoal = 0.55;
    // An endpoint with a smaller chance to answer in time is not calm: others are asked too.
    double calmChance = 0.8;
    // A caller that can still be answered in time is asked to come back rather than sent to an endpoint with a smaller
    // chance than this, which would hold a slot for an answer that is late.
    double leastChance = 0.3;
    RetryAfterPolicy retryAfter = spreadWithinGoal;
};

// Decides about the requests of one traffic thread: which endpoints to ask, where a request goes, whether it is
// repeated, copied or refused. Takes what happened with the time, and gives the next action of a request.
class Dispatcher {
public:
    explicit Dispatcher(DispatchLimits);
    // The chooser refers to this object's book and times.
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    // `members` may be alive, this one included.
    void apply(std::shared_ptr<const Directory>, std::size_t members, TimePoint now);
    bool hasDirectory() const { return m_directory != nullptr; }

    // A request arrived. `timeLeft` is what its caller will wait; empty where it does not say.
    tl::expected<RequestPlan, ErrorKind> admit(const RouteQuery&, std::optional<Duration> timeLeft, TimePoint now);
    // The body is too large to be sent again.
    void setBodyCannotBeReplayed(RequestPlan& plan) const { plan.m_bodyCanBeReplayed = false; }
    RequestAction next(RequestPlan&, DecisionContext);

    // A copy of the request is due: where it goes after the endpoints have been asked anew; empty where none is sent.
    std::optional<AskEndpoints> askForCopy(RequestPlan&, DecisionContext);
    std::optional<SendRequest> copy(RequestPlan&, DecisionContext);

    // The request or its copy is about to be sent to the endpoint.
    void sent(RequestPlan&, const SendRequest&, TimePoint now);
    // The endpoint's own answer is passed on.
    void answered(const RequestPlan&, const SendRequest&, EndpointEvidence, ByteCount answerBytes, TimePoint sentAt,
        TimePoint now);
    // A copy was answered first: the endpoint has taken at least this long.
    void overtaken(const RequestPlan&, const SendRequest&, TimePoint sentAt, TimePoint now);
    void failed(RequestPlan&, const SendRequest&, EndpointEvidence, SendFailure, TimePoint sentAt, TimePoint now);
    // Whether a server error of the endpoint's own may be replaced by another try.
    bool mayRepeatServerError(RequestPlan&, TimePoint now);

    EndpointBook& endpoints() { return m_book; }
    double retriesLeft(TimePoint now);

private:
    RequestAction place(RequestPlan&, DecisionContext);
    std::optional<AskEndpoints> ask(RequestPlan&, Distance, DecisionContext);
    std::optional<RefuseRequest> refuseAfterFailure(RequestPlan&, TimePoint now);
    RefuseRequest refuse(const RequestPlan&, ErrorKind, DecisionContext, std::optional<EndpointChoice> best = {}) const;
    Duration expectedWhenCalm(const RequestPlan&) const;
    bool mayRepeat(const RequestPlan&, TimePoint now) const;
    Duration patience(Distance) const;
    SendRequest send(const RequestPlan&, EndpointChoice, TimePoint now) const;
    void shareAsks(TimePoint now);
    RetryAllowance& retriesOf(const ServiceId&);
    Duration elapsedAtCaller(const RouteDeclaration&, std::optional<Duration> timeLeft);

    DispatchLimits m_limits;
    std::shared_ptr<const Directory> m_directory;
    std::size_t m_members = 1;
    EndpointBook m_book;
    ServiceTimes m_times;
    EndpointChooser m_chooser;
    SplitTurns m_splits;
    std::optional<TokenBucket<CallCount>> m_asks; // Empty before the first directory.
    std::map<ServiceId, RetryAllowance> m_retries;
    // The longest time that callers of a route have given: what they give for a first attempt.
    std::unordered_map<RouteId, Duration> m_fullTime;
};

} // namespace dogwoodhall
