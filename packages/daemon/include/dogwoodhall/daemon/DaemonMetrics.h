#pragma once

#include "dogwoodhall/budget/MeasuringBudget.h"
#include "dogwoodhall/core/ErrorKind.h"
#include "dogwoodhall/telemetry/MetricsRegistry.h"

#include <array>

namespace dogwoodhall {

// Every metric of the daemon. Names, units and meanings are listed in docs/OPERATIONS.md.
struct DaemonMetrics {
    explicit DaemonMetrics(MetricsRegistry&);

    Counter& error(ErrorKind kind) { return *errors[static_cast<std::size_t>(kind)]; }
    Counter& errorToMember(ErrorKind kind) { return *errorsToMembers[static_cast<std::size_t>(kind)]; }
    Counter& sent(MeasuringCategory category) { return *controlCalls[static_cast<std::size_t>(category)]; }
    Counter& denied(MeasuringCategory category) { return *measuringDenied[static_cast<std::size_t>(category)]; }

    Counter& requests;
    Counter& relayed; // Answered whole with the upstream's own answer.
    Counter& broken; // Cut off towards the caller after the answer had begun.
    std::array<Counter*, errorKindCount> errors {}; // Answered to callers.
    std::array<Counter*, errorKindCount> errorsToMembers {}; // Answered to entry hosts, which answer their callers.
    Counter& endpointEjections;
    Counter& retries;
    Counter& hedges; // Second attempts sent while the first had not been answered.
    Counter& forwarded; // Sent to a pool's home on another entry host.
    Counter& bypassedHomes; // Placed here because the pool's home did not answer.
    Counter& suspectedHomes; // Times that a connection to another entry host fell silent.
    Counter& permits; // Long requests sent to their endpoint with a permit from the pool's home.
    Counter& spilled; // Sent to a pool of another data centre.
    Counter& ticketsIssued;
    Counter& ticketReplays;
    Counter& configurationRevision;
    Counter& recordsRejected;
    Counter& publications; // Snapshots given to the traffic threads.
    Counter& publicationMicroseconds; // Processor time of the control thread for them.
    Counter& platformReads;
    Counter& platformFailures;
    Counter& membersAlive;
    Counter& gossipExchanges;
    Counter& gossipFailures;
    Counter& controlBytes;
    std::array<Counter*, measuringCategoryCount> controlCalls {};
    std::array<Counter*, measuringCategoryCount> measuringDenied {}; // Not sent because the budget was spent.
    Counter& measuringBytesBudget; // Each second, as controlBytes and controlCalls are compared with it.
    Counter& measuringCallsBudget;
    Counter& wakeUps; // Pauses of the process that were detected.
    Counter& spansDropped;
    Counter& peerProtocolErrors;
    Counter& loadAsks; // Health calls to endpoints before requests are placed.
    Counter& loadAsksUnanswered;
    Counter& upstreamConnections; // Opened for requests and health calls where endpoints register themselves.
    Counter& retriesLeft; // Retries and copies that this member may make now, over all services.
    Counter& logLinesDropped;
    Histogram& addedLatency; // Time to the start of the answer, without the upstream's share.
    Histogram& queueWait;
};

} // namespace dogwoodhall
