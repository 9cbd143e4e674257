#pragma once

#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/dispatch/EndpointChooser.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace dogwoodhall {

// Probe these endpoints in parallel, then call next() when all have responded or `timeout` has elapsed.
struct ProbeEndpoints {
    std::vector<DirectoryEndpoint> endpoints;
    std::string healthPath;
    Duration timeout {};
};

// Send the request to this endpoint.
struct SendRequest {
    EndpointChoice choice;
    Duration timeLeft {}; // Deadline passed on to the endpoint.
    // Time without a response after which to hedge; empty for no hedge.
    std::optional<Duration> hedgeAfter;
};

// Respond to the caller with an error.
struct RefuseRequest {
    ErrorKind kind;
    Outcome outcome;
    std::optional<Duration> retryAfter;
    std::optional<EndpointChoice> best {}; // The best candidate, if it was not good enough.
    ExclusionCounts exclusions {}; // Why no endpoint could be used, if none could.
    std::string detail {}; // For logs.
};

using RequestAction = std::variant<ProbeEndpoints, SendRequest, RefuseRequest>;

// How an attempt ended that yielded no response to relay.
struct SendFailure {
    ErrorKind kind = ErrorKind::UpstreamFailed;
    bool provenNotRun = false;
    bool reachedEndpoint = true; // The endpoint received the request, even if it only refused it.
};

// State of one request from arrival to response: the attempts made, what is proven about them and the time left.
// Modified only by Dispatcher.
class RequestPlan {
public:
    const RouteDeclaration& route() const { return *m_query.route; }
    const ServiceId& service() const { return m_query.service->declaration.id; }
    std::uint64_t version() const { return m_directory->version(); }
    TimePoint receivedAt() const { return m_receivedAt; }
    TimePoint deadline() const { return m_query.deadline; }
    bool isRepeat() const { return m_isRepeat; }
    // Estimated time that the caller spent on earlier attempts; zero for a first attempt.
    Duration elapsedAtCaller() const { return m_elapsedAtCaller; }
    unsigned sends() const { return m_sends; }
    std::size_t endpointsProbed() const { return m_endpointsProbed; }
    // Whether a cold endpoint could not be used, as this member's share of the requests to it was used up.
    bool metWarmUpLimit() const { return m_metWarmUpLimit; }
    // NotRun while every attempt is proven not to have run.
    Outcome outcome() const { return m_sends == m_provenNotRun ? Outcome::NotRun : Outcome::Unknown; }

private:
    friend class Dispatcher;

    std::shared_ptr<const Directory> m_directory; // Keeps the objects alive that m_query points to.
    EndpointQuery m_query;
    TimePoint m_receivedAt;
    bool m_isRepeat = false; // The caller has made an earlier attempt.
    Duration m_elapsedAtCaller {};
    bool m_bodyCanBeReplayed = true;
    std::optional<Distance> m_probedDistance; // Farthest distance probed since the last attempt was sent.
    std::vector<DirectoryEndpoint> m_probed; // Since the last attempt was sent; only with a SpillController.
    std::size_t m_probedAndRecorded = 0; // Of these, those whose responses have been recorded.
    TimePoint m_roundStartedAt;
    TimePoint m_hedgeProbedAt; // Start of the probes before a hedge.
    std::size_t m_endpointsProbed = 0;
    unsigned m_sends = 0;
    unsigned m_provenNotRun = 0;
    bool m_metWarmUpLimit = false;
    std::optional<SendFailure> m_failure; // Failure of the last attempt.
};

} // namespace dogwoodhall
