#pragma once

#include "dogwoodhall/budget/CallerAccount.h"
#include "dogwoodhall/budget/MeasuringBudget.h"
#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/dispatch/Directory.h"
#include "dogwoodhall/fleet/GossipContent.h"
#include "dogwoodhall/telemetry/MetricsRegistry.h"

#include <array>

namespace dogwoodhall {

// All metrics of the daemon. docs/OPERATIONS.md lists their names, units and meanings.
struct DaemonMetrics {
    explicit DaemonMetrics(MetricsRegistry&);

    Counter& error(ErrorKind kind) { return *errors[static_cast<std::size_t>(kind)]; }
    Counter& errorToMember(ErrorKind kind) { return *errorsToMembers[static_cast<std::size_t>(kind)]; }
    Counter& closed(CallerCloseReason reason) { return *callersClosed[static_cast<std::size_t>(reason)]; }
    Counter& sent(MeasuringCategory category) { return *controlCalls[static_cast<std::size_t>(category)]; }
    Counter& gossipSent(GossipContent content, MemberDistance distance)
    {
        return *gossipBytes[static_cast<std::size_t>(content)][static_cast<std::size_t>(distance)];
    }
    Counter& denied(MeasuringCategory category) { return *measuringDenied[static_cast<std::size_t>(category)]; }

    Counter& sentTo(Distance distance) { return *sentByDistance[static_cast<std::size_t>(distance)]; }
    Counter& leavingShare(Distance distance) { return *leavingPercent[static_cast<std::size_t>(distance)]; }

    Counter& requests;
    Counter& relayed; // Requests answered with a complete upstream response.
    Counter& broken; // Responses truncated after they had begun.
    std::array<Counter*, errorKindCount> errors {}; // Error responses to callers.
    std::array<Counter*, errorKindCount> errorsToMembers {}; // Error responses to entry hosts.
    std::array<Counter*, callerCloseReasonCount> callersClosed {}; // Connections closed for want of room, or too slow.
    Counter& endpointEjections;
    Counter& retries;
    Counter& hedges; // Second attempts sent before the first one got a response.
    Counter& forwarded; // Requests sent to a pool's home on another entry host.
    Counter& bypassedHomes; // Requests placed here because the pool's home failed or did not respond.
    Counter& suspectedHomes; // Times that a connection to another entry host stopped responding.
    Counter& permits; // Long requests sent to their endpoint with a permit from the pool's home.
    Counter& spilled; // Requests sent to a pool in another data centre.
    Counter& ticketsIssued;
    Counter& ticketReplays;
    Counter& configurationRevision;
    Counter& configurationAge; // Milliseconds since the configuration in use was known to be the newest.
    Counter& configurationExpired; // Requests refused because the configuration might be too old.
    Counter& recordsRejected;
    Counter& evacuatedDataCentres;
    Counter& publications; // Snapshots published to the traffic threads.
    Counter& publicationMicroseconds; // Processor time of the control thread for publications.
    Counter& platformReads;
    Counter& platformFailures;
    Counter& requestsEndedByStop;
    Counter& platformChecks;
    Counter& watchesLost;
    Counter& membersAlive;
    Counter& gossipExchanges;
    Counter& gossipFailures;
    std::array<std::array<Counter*, memberDistanceCount>, gossipContentCount> gossipBytes {}; // Sent.
    Counter& controlBytes;
    std::array<Counter*, measuringCategoryCount> controlCalls {};
    std::array<Counter*, measuringCategoryCount> measuringDenied {}; // Not sent: budget exhausted.
    Counter& measuringBytesBudget; // Per second; the limit for the rate of controlBytes.
    Counter& measuringCallsBudget; // Per second; the limit for the rate of controlCalls.
    Counter& wakeUps; // Detected pauses of the process.
    Counter& spansDropped;
    Counter& peerProtocolErrors;
    Counter& exceptions;
    Counter& loadAsks; // Health calls made to endpoints before placing requests.
    Counter& loadAsksUnanswered;
    Counter& upstreamConnections; // Opened for requests and health calls if endpoints register themselves.
    std::array<Counter*, distanceCount> sentByDistance {}; // Attempts at registered endpoints.
    // Largest share of a service's requests that leave at once. Null for the own data centre.
    std::array<Counter*, distanceCount> leavingPercent {};
    Counter& retriesLeft; // Retries and hedges that this member may make now, over all services.
    Counter& retryHolders; // Traffic threads of all members that share the slack of the retry limit.
    Counter& coldSends; // Requests and hedges sent to cold endpoints.
    Counter& warmUpLimited; // Requests for which a cold endpoint was left out.
    Counter& endpointsLeaving; // Endpoints that have announced in a response that they leave.
    Counter& endpointRests; // Times that an endpoint began a rest that it had asked for.
    Counter& withheld; // Requests and probes not written, as the endpoint had begun to leave or rest.
    Counter& logLinesDropped;
    Histogram& addedLatency; // Time to the start of the response, without the time spent at the upstream.
    Histogram& queueWait;
};

} // namespace dogwoodhall
