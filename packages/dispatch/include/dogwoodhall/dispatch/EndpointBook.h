#pragma once

#include "dogwoodhall/dispatch/Directory.h"
#include "dogwoodhall/dispatch/LoadReport.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace dogwoodhall {

// What a health answer said besides the load.
enum class HealthWord : std::uint8_t {
    Healthy,
    Unhealthy, // May be false: some endpoints say so and serve well.
    Closing, // Unhealthy, and the connection ends with the answer: the endpoint is about to leave.
};

// How a request or a health call that was sent to an endpoint ended, as evidence about the endpoint.
enum class EndpointEvidence : std::uint8_t {
    Served, // A whole answer of its own that is no server error.
    ServerError, // A whole answer with a server error.
    Overtaken, // It was still at work when a copy at another endpoint was answered.
    Broken, // Its connection failed, or the answer was cut short or not its own.
    Silent, // No answer in time.
    Refused, // It proved that it did not run the request.
    Misdirected, // Another endpoint has the address now.
    Unrelated, // Ended for a reason that says nothing about it, such as a caller that left.
};

// What this process believes about one endpoint, beyond what the directory says.
struct EndpointBelief {
    std::optional<LoadReport> report;
    TimePoint reportedAt; // When the call that brought the report was sent.
    std::deque<TimePoint> sentAt; // Of this process's own requests in flight, the oldest first.
    // Share of recent requests that failed, as of failureAt; it fades, so that the endpoint is tried again.
    double failureShare = 0;
    TimePoint failureAt;
    unsigned silentCalls = 0; // Health calls in a row without an answer.
    TimePoint avoidedUntil; // Takes no work before; it was not reachable.
    bool saysUnhealthy = false; // By its last health answer.
    bool isGone = false; // Another endpoint has its address. Holds for as long as the run lasts.
    TimePoint coldUntil; // Slow after its start until then.
};

struct EndpointBookLimits {
    // Weight of one result in the share of failures. A faulty endpoint fails two in five of its requests; with a fifth,
    // ten requests separate it from one that fails one in two hundred.
    double failureWeight = 0.2;
    // Half-life of the share of failures: a fault that lasts five seconds is forgotten as long after its end.
    Duration failureHalfLife = std::chrono::seconds(3);
    // Time without work after a failed connection or two unanswered health calls. A crashed endpoint is back after some
    // seconds; one try a second finds that at little cost.
    Duration avoidance = std::chrono::seconds(1);
    unsigned silentCallsToAvoid = 2; // One can be lost with its connection.
};

// The endpoints as this process has come to know them. Owned by one traffic thread.
class EndpointBook {
public:
    explicit EndpointBook(EndpointBookLimits limits = {})
        : m_limits(limits)
    {
    }

    // Forgets endpoints that are gone, and what is known of an earlier run of the same endpoint.
    void apply(const Directory&, TimePoint now);

    // Whether the endpoint may be given work: it is neither gone nor avoided.
    bool isUsable(const EndpointId&, TimePoint now) const;
    // Null where the endpoint is not in the directory.
    const EndpointBelief* find(const EndpointId&) const;
    double failureShare(const EndpointId&, TimePoint now) const;
    // Requests that the endpoint runs as far as is known: by its report, and own ones sent after that.
    std::optional<LoadReport> currentLoad(const EndpointId&) const;

    // A health call that was sent at `sentAt` brought this report; no report where the endpoint does not tell its load.
    void healthAnswered(const EndpointId&, const std::optional<LoadReport>&, HealthWord, TimePoint sentAt);
    // The call got no answer. A failure of a reused connection says nothing about the endpoint.
    void healthUnanswered(const EndpointId&, bool onReusedConnection, TimePoint now);

    // Another endpoint answered at its address: it is gone, whatever the directory says.
    void foundGone(const EndpointId&);

    void requestSent(const EndpointId&, TimePoint now);
    void requestEnded(const EndpointId&, TimePoint sentAt, EndpointEvidence, TimePoint now);
    // A report that came with an answer; older than that of a health call, so that it only fills a gap.
    void reportedWithAnswer(const EndpointId&, const LoadReport&, TimePoint sentAt);

private:
    struct Entry {
        Incarnation incarnation;
        EndpointBelief belief;
    };

    Entry* entry(const EndpointId&);
    double faded(const EndpointBelief&, TimePoint now) const;

    EndpointBookLimits m_limits;
    std::unordered_map<EndpointId, Entry> m_entries;
};

} // namespace dogwoodhall
