#pragma once

#include "dogwoodhall/dispatch/Directory.h"
#include "dogwoodhall/dispatch/LoadReport.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace dogwoodhall {

// Health status in a probe response, apart from the load.
enum class HealthStatus : std::uint8_t {
    Healthy,
    Unhealthy, // Unreliable: some endpoints report this but serve well.
    Closing, // Unhealthy, and the response closes the connection: the endpoint is about to leave.
};

// How a request or probe to an endpoint ended, as evidence about the endpoint.
enum class EndpointEvidence : std::uint8_t {
    Served, // A complete response from the endpoint that is not a server error.
    ServerError, // A complete response with a server error.
    LostToHedge, // Still unanswered when a hedge at another endpoint was answered.
    Broken, // The connection failed, or the response was truncated or came from elsewhere.
    TimedOut, // No response in time.
    Refused, // Proven not to have run the request.
    Misdirected, // Another endpoint now uses the address.
    Unrelated, // Not attributable to the endpoint, for example because the caller disconnected.
};

// Local knowledge about one endpoint, in addition to the directory.
struct EndpointState {
    std::optional<LoadReport> report;
    TimePoint reportedAt; // When the probe that returned the report was sent.
    std::deque<TimePoint> sentAt; // Send times of this process's requests in flight, oldest first.
    // Moving average of failed requests as of failureShareAt. Decays over time, so that the endpoint is tried again.
    double failureShare = 0;
    TimePoint failureShareAt;
    unsigned unansweredProbes = 0; // Consecutive probes without a response.
    TimePoint avoidedUntil; // Receives no work before this time, because it was unreachable or closing.
    bool reportsUnhealthy = false; // According to the last probe response.
    bool isReplaced = false; // Another endpoint uses its address. Final for this incarnation.
    TimePoint coldUntil; // End of the warm-up, during which the endpoint is slower.
};

struct EndpointTrackerLimits {
    // Weight of one result in the failure share. A faulty endpoint fails two in five of its requests; with a weight of
    // 0.2, ten requests distinguish it from one that fails one in two hundred.
    double failureWeight = 0.2;
    // Half-life of the failure share: the effect of a fault that lasts five seconds has decayed five seconds after it
    // ends.
    Duration failureHalfLife = std::chrono::seconds(3);
    // How long an endpoint receives no work after consecutive unanswered probes, or after reporting that it is closing.
    // A crashed endpoint is back after some seconds; one attempt per second detects that cheaply.
    Duration avoidDuration = std::chrono::seconds(1);
    unsigned unansweredProbesToAvoid = 2; // A single probe can be lost with its connection.
};

// Tracks the load, failures and availability of the endpoints. Owned by one traffic thread.
class EndpointTracker {
public:
    explicit EndpointTracker(EndpointTrackerLimits limits = {})
        : m_limits(limits)
    {
    }

    // Removes endpoints that are not in the directory, and resets the state of those with a new incarnation.
    void apply(const Directory&, TimePoint now);

    // Returns whether the endpoint may receive work: it is neither replaced nor avoided.
    bool isUsable(const EndpointId&, TimePoint now) const;
    // Returns nullptr if the endpoint is not in the directory.
    const EndpointState* find(const EndpointId&) const;
    double failureShare(const EndpointId&, TimePoint now) const;
    // Load of the endpoint: its last report plus this process's requests sent after that report. Empty without a
    // report.
    std::optional<LoadReport> currentLoad(const EndpointId&) const;

    // Records the response to a probe sent at `sentAt`. The report is empty if the endpoint does not state its load.
    void recordProbeResponse(const EndpointId&, const std::optional<LoadReport>&, HealthStatus, TimePoint sentAt);
    // Records a probe without a response. A failure on a reused connection is ignored: the connection may have been
    // stale.
    void recordUnansweredProbe(const EndpointId&, bool onReusedConnection, TimePoint now);

    // Another endpoint answered at its address: it is unusable even if the directory still lists it.
    void markReplaced(const EndpointId&);

    void requestSent(const EndpointId&, TimePoint now);
    void requestEnded(const EndpointId&, TimePoint sentAt, EndpointEvidence, TimePoint now);
    // Records a load report from a response to a request. Older than a probe's report, so it is only used if there is
    // none.
    void recordReportFromResponse(const EndpointId&, const LoadReport&, TimePoint sentAt);

private:
    struct Entry {
        Incarnation incarnation;
        EndpointState state;
    };

    Entry* entry(const EndpointId&);
    double decayedFailureShare(const EndpointState&, TimePoint now) const;

    EndpointTrackerLimits m_limits;
    std::unordered_map<EndpointId, Entry> m_entries;
};

} // namespace dogwoodhall
