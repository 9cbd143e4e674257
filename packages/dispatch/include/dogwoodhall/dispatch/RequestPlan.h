#pragma once

#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/dispatch/EndpointChooser.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace dogwoodhall {

// Ask these endpoints for their load, all at once, and go on when all have answered or `patience` has passed.
struct AskEndpoints {
    std::vector<DirectoryEndpoint> endpoints;
    std::string healthPath;
    Duration patience {};
};

// Send the request to this endpoint.
struct SendRequest {
    EndpointChoice choice;
    Duration timeLeft {}; // For the endpoint.
    // When to send a copy to another endpoint while there is no answer; empty: never.
    std::optional<Duration> copyAfter;
};

// Answer the caller with an error.
struct RefuseRequest {
    ErrorKind kind;
    Outcome outcome;
    std::optional<Duration> retryAfter;
    std::optional<EndpointChoice> best {}; // The best endpoint that was not good enough.
};

using RequestAction = std::variant<AskEndpoints, SendRequest, RefuseRequest>;

// How one sending of a request ended without an answer to pass on.
struct SendFailure {
    ErrorKind kind = ErrorKind::UpstreamFailed;
    bool provenNotRun = false;
    bool hasArrived = true; // The endpoint has received it, be it only to refuse it.
};

// One caller's request from its arrival to its answer: what was tried, what is proven of it and what its time allows.
// The decisions are the Dispatcher's, which alone changes it.
class RequestPlan {
public:
    const RouteDeclaration& route() const { return *m_query.route; }
    const ServiceId& service() const { return m_query.service->declaration.id; }
    std::uint64_t version() const { return m_directory->version(); }
    TimePoint receivedAt() const { return m_receivedAt; }
    TimePoint limit() const { return m_query.limit; }
    bool isRepeat() const { return m_isRepeat; }
    // Time that the caller had spent on earlier attempts, as far as can be told; zero for a first one.
    Duration elapsedAtCaller() const { return m_elapsedAtCaller; }
    unsigned sends() const { return m_sends; }
    std::size_t endpointsAsked() const { return m_endpointsAsked; }
    // NotRun while every sending is proven not to have been run.
    Outcome outcome() const { return m_sends == m_provenNotRun ? Outcome::NotRun : Outcome::Unknown; }

private:
    friend class Dispatcher;

    std::shared_ptr<const Directory> m_directory; // Owns what the query points to.
    EndpointQuery m_query;
    TimePoint m_receivedAt;
    bool m_isRepeat = false; // The caller has tried before.
    Duration m_elapsedAtCaller {};
    bool m_bodyCanBeReplayed = true;
    std::optional<Distance> m_asked; // The farthest endpoints that were asked since the last sending.
    std::size_t m_endpointsAsked = 0;
    unsigned m_sends = 0;
    unsigned m_provenNotRun = 0;
    std::optional<SendFailure> m_failure; // Of the last sending.
};

} // namespace dogwoodhall
