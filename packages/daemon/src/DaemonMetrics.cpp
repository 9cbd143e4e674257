#include "dogwoodhall/daemon/DaemonMetrics.h"

#include <string>

namespace dogwoodhall {

namespace {

// Indexed by MeasuringCategory.
const std::array<const char*, measuringCategoryCount> categoryNames { "membership", "configuration", "health", "load" };
// Indexed by GossipContent and MemberDistance.
const std::array<const char*, gossipContentCount> contentNames { "records", "members", "loads", "rest" };
const std::array<const char*, memberDistanceCount> distanceNames { "data-centre", "region", "other-region" };

} // namespace

DaemonMetrics::DaemonMetrics(MetricsRegistry& registry)
    : requests(registry.counter("dogwoodhall_requests_total", "Requests received from callers."))
    , relayed(registry.counter("dogwoodhall_relayed_total", "Requests answered whole by an upstream."))
    , broken(registry.counter("dogwoodhall_broken_answers_total", "Answers cut off after they had begun."))
    , endpointEjections(registry.counter("dogwoodhall_endpoint_ejections_total",
          "Endpoints that got no work for a time, as they failed or were slow."))
    , retries(registry.counter("dogwoodhall_retries_total", "Attempts after the first of a request."))
    , hedges(registry.counter("dogwoodhall_hedges_total", "Second attempts sent beside a slow first one."))
    , forwarded(registry.counter("dogwoodhall_forwarded_total", "Requests sent to a pool's home on another host."))
    , bypassedHomes(registry.counter("dogwoodhall_bypassed_homes_total", "Requests placed here as their home failed."))
    , suspectedHomes(registry.counter("dogwoodhall_suspected_homes_total", "Peers suspected as they did not answer."))
    , permits(registry.counter("dogwoodhall_permits_total", "Long requests sent with a permit from the home."))
    , spilled(registry.counter("dogwoodhall_spilled_total", "Requests sent to another data centre."))
    , ticketsIssued(registry.counter("dogwoodhall_tickets_issued_total", "Tickets issued."))
    , ticketReplays(registry.counter("dogwoodhall_ticket_replays_total", "Repeats answered with a kept answer."))
    , configurationRevision(registry.gauge("dogwoodhall_configuration_revision", "Highest revision read."))
    , configurationAge(registry.gauge("dogwoodhall_configuration_age_milliseconds",
          "Time since the configuration in use was known to be the newest."))
    , configurationExpired(registry.counter(
          "dogwoodhall_configuration_expired_total", "Requests refused because the configuration might be too old."))
    , recordsRejected(registry.counter("dogwoodhall_records_rejected_total", "Records that failed their checks."))
    , evacuatedDataCentres(registry.gauge("dogwoodhall_evacuated_data_centres", "Data centres being evacuated."))
    , publications(registry.counter("dogwoodhall_publications_total", "Snapshots given to the traffic threads."))
    , publicationMicroseconds(registry.counter(
          "dogwoodhall_publication_processor_microseconds_total", "Processor time spent on publications."))
    , platformReads(registry.counter("dogwoodhall_platform_reads_total", "Reads of the platform's services."))
    , platformFailures(registry.counter("dogwoodhall_platform_failures_total", "Failed reads of the platform."))
    , requestsEndedByStop(registry.counter(
          "dogwoodhall_requests_ended_by_stop_total", "Requests answered unfinished at the end of the grace period."))
    , platformChecks(registry.counter("dogwoodhall_platform_checks_total", "Checks of waiting watches."))
    , watchesLost(registry.counter("dogwoodhall_watches_lost_total", "Watches whose response was lost."))
    , membersAlive(registry.gauge("dogwoodhall_members_alive", "Members taken for alive, this one included."))
    , gossipExchanges(registry.counter("dogwoodhall_gossip_exchanges_total", "Gossip exchanges started."))
    , gossipFailures(registry.counter("dogwoodhall_gossip_failures_total", "Gossip exchanges that failed."))
    , controlBytes(registry.counter("dogwoodhall_control_bytes_total", "Bytes sent for control and measuring."))
    , measuringBytesBudget(registry.gauge(
          "dogwoodhall_measuring_budget_bytes_per_second", "What control and measuring may send, from the settings."))
    , measuringCallsBudget(
          registry.gauge("dogwoodhall_measuring_budget_calls_per_second", "The same in calls, from the settings."))
    , wakeUps(registry.counter("dogwoodhall_wake_ups_total", "Pauses of the process that expired its state."))
    , spansDropped(registry.counter("dogwoodhall_spans_dropped_total", "Spans dropped before export."))
    , peerProtocolErrors(registry.counter("dogwoodhall_peer_protocol_errors_total", "Malformed peer messages."))
    , exceptions(
          registry.counter("dogwoodhall_exceptions_total", "Unexpected exceptions, each of which ended one task."))
    , loadAsks(registry.counter("dogwoodhall_load_asks_total", "Health calls made before requests were placed."))
    , loadAsksUnanswered(
          registry.counter("dogwoodhall_load_asks_unanswered_total", "Of these, those without an answer."))
    , upstreamConnections(
          registry.gauge("dogwoodhall_upstream_connections", "Connections opened to registered endpoints."))
    , retriesLeft(registry.gauge("dogwoodhall_retries_left", "Retries and copies this member may make now."))
    , retryHolders(
          registry.gauge("dogwoodhall_retry_holders", "Traffic threads that share the slack of the retry limit."))
    , coldSends(registry.counter("dogwoodhall_cold_sends_total", "Requests and copies sent to cold endpoints."))
    , warmUpLimited(registry.counter("dogwoodhall_warm_up_limited_total",
          "Requests for which a cold endpoint was left out, as this member's share was used up."))
    , endpointsLeaving(registry.counter(
          "dogwoodhall_endpoints_leaving_total", "Endpoints that announced in an answer that they leave."))
    , endpointRests(registry.counter("dogwoodhall_endpoint_rests_total", "Rests begun that an endpoint asked for."))
    , withheld(registry.counter("dogwoodhall_withheld_total",
          "Requests and health calls not sent on a connection that was ready, as the endpoint left or rested."))
    , logLinesDropped(registry.gauge("dogwoodhall_log_lines_dropped", "Log lines dropped for rate or a slow reader."))
    , addedLatency(registry.histogram(
          "dogwoodhall_added_latency_seconds", "Time to the start of the answer without the upstream's share."))
    , queueWait(registry.histogram("dogwoodhall_queue_wait_seconds", "Time a request waited for a slot."))
{
    for (std::size_t n = 0; n < errorKindCount; ++n) {
        const auto& answer = answerFor(static_cast<ErrorKind>(n));
        errors[n] = &registry.counter("dogwoodhall_errors_total", "Answers that are not the upstream's own, by kind.",
            { { "kind", std::string(answer.name) } });
        errorsToMembers[n] = &registry.counter("dogwoodhall_errors_to_members_total",
            "Errors that a home gave to the entry host of the request, by kind.",
            { { "kind", std::string(answer.name) } });
    }
    for (const auto distance : { Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion }) {
        const auto n = static_cast<std::size_t>(distance);
        const std::string name(toString(distance));
        sentByDistance[n] = &registry.counter(
            "dogwoodhall_sent_total", "Attempts at registered endpoints, by distance.", { { "distance", name } });
        if (distance != Distance::SameDataCentre)
            leavingPercent[n] = &registry.gauge("dogwoodhall_leaving_percent",
                "Largest share of a service's requests that leave the data centre at once.", { { "direction", name } });
    }
    for (std::size_t n = 0; n < callerCloseReasonCount; ++n) {
        const auto reason = static_cast<CallerCloseReason>(n);
        callersClosed[n] = &registry.counter("dogwoodhall_callers_closed_total",
            "Connections of callers closed for want of room or as too slow, by reason.",
            { { "reason", std::string(toString(reason)) } });
    }
    for (std::size_t content = 0; content < gossipContentCount; ++content) {
        for (std::size_t distance = 0; distance < memberDistanceCount; ++distance) {
            gossipBytes[content][distance] = &registry.counter("dogwoodhall_gossip_bytes_total",
                "Bytes of gossip messages sent, by content and distance.",
                { { "content", contentNames[content] }, { "distance", distanceNames[distance] } });
        }
    }
    for (std::size_t n = 0; n < measuringCategoryCount; ++n) {
        controlCalls[n] = &registry.counter("dogwoodhall_control_calls_total", "Calls made for control and measuring.",
            { { "category", categoryNames[n] } });
        measuringDenied[n] = &registry.counter("dogwoodhall_measuring_denied_total",
            "Messages the measuring budget denied.", { { "category", categoryNames[n] } });
    }
}

} // namespace dogwoodhall
